#pragma once

#include <optional>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::engine {

/// The balancers that a sidecar can send replies through.
///
/// A balancer is known by its frames, and by the probe with which it greets
/// each sidecar that is new to it. It is silent from the first reply that it
/// did not acknowledge in time until it is heard again.
class BalancerTable {
 public:
  /// When full, the balancer that was heard least recently gives way.
  static constexpr std::size_t kCapacity = 16;
  /// Time without a frame after which a reply asks for an acknowledgement.
  static constexpr std::chrono::milliseconds kConfirmAfter{100};
  /// Time for which frames of a balancer that said it leaves don't count.
  static constexpr std::chrono::seconds kLeaveTime{5};

  /// Notes a frame that came from the balancer itself.
  void OnHeard(const Endpoint& balancer, TimePoint now);
  /// Notes a balancer that another sidecar has heard.
  void Learn(const Endpoint& balancer, TimePoint now);
  void OnLeaving(const Endpoint& balancer, TimePoint now);
  void MarkSilent(const Endpoint& balancer);

  /// @param preferred the balancer that took the caller's latest datagram.
  /// @return the balancer that isn't leaving and has left the fewest replies
  ///     unanswered; among equals preferred, then the one heard last.
  Endpoint Choose(const Endpoint& preferred, TimePoint now) const;
  /// @return whether a reply sent now should ask for an acknowledgement, to
  ///     find out about the balancer; at most once per kConfirmAfter.
  bool TakeConfirmation(const Endpoint& balancer, TimePoint now);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Endpoint balancer;
    TimePoint heard{};
    TimePoint asked{};
    TimePoint leaving_until{};
    int unanswered = 0;  ///< Replies without an answer since it was heard.
  };

  Entry* Find(const Endpoint& balancer);
  Entry& Add(const Endpoint& balancer, TimePoint now);

  std::vector<Entry> entries_;
};

}  // namespace cowslip::engine
