#pragma once

#include <chrono>
#include <unordered_map>

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"

namespace cowslip::segment {

/// Members that answer no owner queries: those of earlier builds, which ignore
/// them. They are not asked for a while, so that lookups don't wait for them.
class SilentMembers {
 public:
  /// Unanswered queries in a row, each sent twice, after which a member counts
  /// as silent. Lost datagrams rarely cause so many.
  static constexpr int kMaxUnanswered = 2;
  /// Time for which it is not asked.
  static constexpr std::chrono::milliseconds kPause{2000};

  void OnReply(InstanceAddress sidecar) { Erase(sidecar); }
  void OnUnanswered(InstanceAddress sidecar, TimePoint now) {
    auto& silence = members_[sidecar];
    ++silence.unanswered;
    silence.last = now;
  }
  bool IsSilent(InstanceAddress sidecar, TimePoint now) const {
    const auto found = members_.find(sidecar);
    return found != members_.end() &&
           found->second.unanswered >= kMaxUnanswered &&
           now - found->second.last < kPause;
  }
  void Erase(InstanceAddress sidecar) { members_.erase(sidecar); }

 private:
  struct Silence {
    int unanswered = 0;
    TimePoint last{};
  };

  std::unordered_map<InstanceAddress, Silence> members_;
};

}  // namespace cowslip::segment
