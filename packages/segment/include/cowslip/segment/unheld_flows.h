#pragma once

#include <unordered_map>

#include "cowslip/base.h"

namespace cowslip::segment {

/// Judges when a flow that no member holds may be reset.
///
/// Answers the load pattern after a mass failure: callers repeat packets of
/// connections whose servers are gone until their deadlines pass. One answer may
/// come from before a member was known here, so a second one is asked for.
class UnheldFlows {
 public:
  /// Callers repeat a packet after 200 ms, 400 ms and so on.
  static constexpr std::chrono::milliseconds kConfirmAfter{350};
  /// A later answer starts anew: callers repeat within 1.6 s at most.
  static constexpr std::chrono::seconds kForgetAfter{4};
  static constexpr std::size_t kCapacity = 4096;

  /// @return whether all members have said twice that they don't hold it.
  bool Confirm(const FlowKey& flow, TimePoint now);
  void Expire(TimePoint now);
  void Clear() { first_.clear(); }

 private:
  std::unordered_map<FlowKey, TimePoint, FlowKeyHash> first_;
};

}  // namespace cowslip::segment
