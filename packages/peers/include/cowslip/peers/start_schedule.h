#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/peers/peer_entry.h"

namespace cowslip::peers {

/// Decides whom an instance asks for the table after its start, and how soon it
/// compares its table with others.
///
/// Answers the load of a common start of all instances: if each asked all
/// balancers, each balancer would send its table to all instances, while none
/// has more than a part of it. One at a time is asked, and the rest is found by
/// comparisons shortly after.
class StartSchedule {
 public:
  /// Time until the next balancer is asked.
  static constexpr std::chrono::milliseconds kHelloInterval{60};
  /// Time after the start within which other instances may be starting, too,
  /// and the table may not name all balancers.
  static constexpr std::chrono::milliseconds kDuration{500};
  /// Time after the start until the first changes are forwarded: earlier ones
  /// would not reach instances that start at the same time.
  static constexpr std::chrono::milliseconds kHoldTime{30};

  explicit StartSchedule(bool balancer) : balancer_(balancer) {}

  /// A message of a balancer has arrived.
  /// @param has_entries whether it holds entries of other instances.
  void OnBalancerMessage(InstanceAddress sender, bool has_entries);
  /// @return whether no balancer that was asked has answered.
  bool asking() const { return !answered_; }
  /// Chooses the balancer to ask next, a different one each time until all were
  /// asked.
  InstanceAddress NextToAsk(std::span<const InstanceAddress> balancers,
                            std::mt19937_64& random);
  /// @return whether a message round is due.
  /// @param usual interval of rounds when the start is over.
  bool IsDue(TimePoint last, std::chrono::milliseconds usual,
             TimePoint now) const;
  /// A message round is sent. @return whether it is to have the digests of the
  ///     table.
  bool OnRound(TimePoint now);
  /// @return whether the tables will be compared soon.
  bool compares_soon() const { return asking() || NextComparison(); }
  /// @return whether changes are not forwarded yet.
  bool HoldsChanges(TimePoint now) const {
    return !started_at_ || now - *started_at_ < kHoldTime;
  }
  /// @return whether the start was less than kDuration ago.
  bool IsStarting(TimePoint now) const {
    return !started_at_ || now - *started_at_ < kDuration;
  }

 private:
  /// @return when to compare the tables next, std::nullopt if not soon.
  std::optional<TimePoint> NextComparison() const;

  bool balancer_;
  bool answered_ = false;
  std::size_t rounds_ = 0;  ///< Comparisons that were due so far.
  /// No entries have arrived since the last comparison.
  bool awaits_entries_ = false;
  std::optional<TimePoint> started_at_;  ///< Time of the first round.
  std::vector<InstanceAddress> asked_;
};

}  // namespace cowslip::peers
