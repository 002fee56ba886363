#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/coap.h"
#include "cowslip/flow.h"
#include "cowslip/permit.h"

namespace cowslip::engine {

/// The permitted (non-idempotent) requests that an upstream is processing, by
/// flow and token.
class RunTable {
 public:
  /// A permitted request in progress.
  struct Run {
    flow::FlowSlot slot{};
    permit::PermitNumber permit{};
    coap::Message request;  ///< Without its payload.
    TimePoint deadline{};
    flow::RequestTiming timing;
  };

  void Add(Run run);
  bool Contains(flow::FlowSlot slot, const Bytes& token) const {
    return runs_.contains({slot, token});
  }
  /// @return whether the request with this message id is in progress.
  bool IsRunning(flow::FlowSlot slot, std::uint16_t message_id) const;
  /// Removes and returns the run with this token, if there is one.
  std::optional<Run> Take(flow::FlowSlot slot, const Bytes& token);
  /// Removes and returns the runs whose deadline has passed.
  std::vector<Run> TakeOverdue(TimePoint now);
  /// Removes and returns the runs of a flow.
  std::vector<Run> TakeAll(flow::FlowSlot slot);
  /// @return whether the flow has a run.
  bool HasRunOf(flow::FlowSlot slot) const;
  std::size_t size() const { return runs_.size(); }

 private:
  using Key = std::pair<flow::FlowSlot, Bytes>;
  std::map<Key, Run> runs_;
};

}  // namespace cowslip::engine
