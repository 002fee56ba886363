#pragma once

#include <optional>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::engine {

/// The balancers through which a sidecar can send replies.
///
/// A balancer is added when a frame arrives from it; each balancer probes every
/// sidecar that is new to it. Replies that a balancer did not acknowledge in
/// time are counted until the next frame from it arrives, and a balancer with
/// fewer of them is preferred.
class BalancerTable {
 public:
  /// Number of balancers. When the table is full, the one whose latest frame is
  /// oldest is evicted.
  static constexpr std::size_t kCapacity = 16;
  /// A reply requests an acknowledgement if the latest frame from the balancer
  /// and the latest such request are older than this.
  static constexpr std::chrono::milliseconds kAckRequestAge{100};
  /// Time for which a balancer that announced its shutdown is avoided, even if
  /// frames from it still arrive.
  static constexpr std::chrono::seconds kLeavingTime{5};

  /// Records a frame received from the balancer itself.
  void OnFrameFrom(const Endpoint& balancer, TimePoint now);
  /// Adds a balancer that is named in a frame forwarded by another sidecar.
  void AddReported(const Endpoint& balancer, TimePoint now);
  /// Records that the balancer announced its shutdown.
  void OnLeaving(const Endpoint& balancer, TimePoint now);
  /// Records that the balancer did not acknowledge a reply in time.
  void OnAckTimeout(const Endpoint& balancer);

  /// @param preferred the balancer that forwarded the caller's latest datagram.
  /// @return the balancer that is not shutting down and has the fewest
  ///     unacknowledged replies; on a tie `preferred`, then the one with the
  ///     latest frame. If the table is empty, `preferred`.
  Endpoint Choose(const Endpoint& preferred, TimePoint now) const;
  /// @return whether a reply sent now should request an acknowledgement, in
  ///     order to check the balancer; at most once per kAckRequestAge.
  bool ShouldRequestAck(const Endpoint& balancer, TimePoint now);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Endpoint balancer;
    TimePoint last_seen{};         ///< Latest frame from the balancer.
    TimePoint last_ack_request{};  ///< Latest request for an acknowledgement.
    TimePoint leaving_until{};     ///< Avoided until then.
    /// Replies not acknowledged in time since the latest frame.
    int unacknowledged = 0;
  };

  Entry* Find(const Endpoint& balancer);
  Entry& Add(const Endpoint& balancer, TimePoint now);

  std::vector<Entry> entries_;
};

}  // namespace cowslip::engine
