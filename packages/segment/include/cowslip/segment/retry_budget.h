#pragma once

#include "cowslip/base.h"

namespace cowslip::segment {

/// Limits the packets that a process sends again to a share of those that it
/// sends for the first time.
///
/// Handles the time after a failure in which many packets lack an
/// acknowledgement at once: without a limit, resends can fill the link and so
/// delay the acknowledgements that would end them.
class RetryBudget {
 public:
  /// Resends allowed for each first transmission.
  static constexpr double kShare = 0.5;
  /// Resends per second that are allowed without any first transmission, so
  /// that single packets are always sent again.
  static constexpr double kMinPerSecond = 25;
  /// Resends in a burst: enough to find out which of a few dozen sidecars have
  /// failed at the same moment.
  static constexpr double kBurst = 100;

  void OnFirstTransmission() { tokens_.Add(kShare); }
  /// Takes the token of one resend. @return whether there was one.
  bool TryTake(TimePoint now) { return tokens_.TryTake(now); }

 private:
  TokenBucket tokens_{kMinPerSecond, kBurst};
};

}  // namespace cowslip::segment
