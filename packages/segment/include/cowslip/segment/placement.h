#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "cowslip/segment/frame.h"

namespace cowslip::segment {

/// A member that a new connection may be placed on, as one balancer knows it.
struct PlacementCandidate {
  InstanceAddress sidecar = 0;
  /// In the balancer's own data centre.
  bool is_local = false;
  /// Expected wait that it last reported; std::nullopt without a recent report.
  std::optional<std::chrono::microseconds> wait;
  /// Connections sent to it since that report.
  std::uint32_t reservations = 0;
};

/// Order of the members that a new connection is offered to, where the members
/// of a service are in several data centres.
///
/// Load pattern: demand that differs between data centres and changes, while
/// traffic between them has a cost. A connection stays in the caller's data
/// centre as long as it is answered there in good time, and leaves it one by
/// one as the members there become slower, so that no threshold of a whole data
/// centre is crossed by all balancers at once.
class Placement {
 public:
  /// Candidates in the balancer's own data centre.
  static constexpr std::size_t kLocalCandidates = 4;
  /// Candidates in other data centres.
  static constexpr std::size_t kRemoteCandidates = 2;
  static constexpr std::size_t kCandidates =
      kLocalCandidates + kRemoteCandidates;
  /// Local members come first as long as their expected response is within this
  /// part of the latency target. The rest covers the error of the estimate.
  static constexpr int kLocalTargetDivisor = 2;
  /// Share of the wait that each connection in flight to a member adds, as
  /// upstreams have two or three slots.
  static constexpr double kReservationShare = 0.5;

  /// Adds a member that is open and responsive. Call in the order of rank; once
  /// a kind of member has enough candidates, others of it are ignored.
  void Offer(const PlacementCandidate& candidate);
  /// @return whether no further member can become a candidate.
  bool IsFull() const {
    return local_count_ == kLocalCandidates &&
           remote_count_ >= kRemoteCandidates;
  }
  /// @param latency_target of the route. Without one, local members always come
  /// first: one that is full passes the connection on.
  /// @return the candidates, the best first; valid until the next call.
  std::span<const PlacementCandidate> Order(
      std::optional<std::chrono::milliseconds> latency_target);

 private:
  /// A candidate and what it is ordered by.
  struct Ranked {
    PlacementCandidate candidate;
    bool is_preferred = false;
    std::chrono::microseconds wait{};
  };

  /// @return the mean of the waits that are known, 0 if none is.
  static std::chrono::microseconds AverageWait(
      std::span<const PlacementCandidate> candidates);

  std::array<PlacementCandidate, kLocalCandidates> local_;
  std::size_t local_count_ = 0;
  /// With fewer local members than kLocalCandidates, for example in an
  /// evacuated data centre, others take their place.
  std::array<PlacementCandidate, kCandidates> remote_;
  std::size_t remote_count_ = 0;
  std::array<PlacementCandidate, kCandidates> ordered_;
};

}  // namespace cowslip::segment
