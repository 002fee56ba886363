#pragma once

#include <algorithm>
#include <chrono>

#include "cowslip/base.h"

namespace cowslip::segment {

/// Computes the retransmission timeout from measured round trips, as RFC 6298
/// does: the smoothed round trip plus four times its mean deviation.
///
/// Handles a slow or congested link, where a fixed timeout resends every packet
/// before its acknowledgement can arrive.
class RoundTripEstimator {
 public:
  /// Acknowledgements between data centres take 2 to 3 ms. A sidecar that has
  /// used up its processor quota takes up to 100 ms; two then get the packet.
  static constexpr std::chrono::milliseconds kMinTimeout{40};
  static constexpr std::chrono::milliseconds kMaxTimeout{1000};
  /// Doublings of the timeout for one packet.
  static constexpr int kMaxBackoff = 4;

  /// @param round_trip of a packet that was sent to one instance once, so that
  /// its acknowledgement is unambiguous.
  void OnSample(Duration round_trip);
  /// @param resends how often the packet has been sent again; each one doubles
  /// the timeout.
  Duration Timeout(int resends = 0) const;

 private:
  bool sampled_ = false;
  Duration smoothed_{};
  Duration deviation_{};
};

}  // namespace cowslip::segment
