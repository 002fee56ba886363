#pragma once

#include <algorithm>

namespace cowslip::engine {

/// Limits retries to a share of the first tries, so that a failing service is
/// not sent more work than a healthy one.
class RetryBudget {
 public:
  /// Retries granted per first try.
  static constexpr double kShare = 0.1;
  /// Retries that may be saved up.
  static constexpr double kMaxSaved = 10;

  void OnFirstTry() { saved_ = std::min(kMaxSaved, saved_ + kShare); }
  /// @return false if the budget is spent.
  bool Take() {
    if (saved_ < 1) return false;
    saved_ -= 1;
    return true;
  }

 private:
  double saved_ = kMaxSaved;
};

}  // namespace cowslip::engine
