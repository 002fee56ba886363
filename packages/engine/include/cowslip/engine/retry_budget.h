#pragma once

#include <algorithm>

namespace cowslip::engine {

/// Limits retries to a share of the requests, so that retries do not multiply
/// the load on a service that is failing.
class RetryBudget {
 public:
  /// Retries allowed per request.
  static constexpr double kShare = 0.1;
  /// Upper limit of the retries that unused budget adds up to.
  static constexpr double kMaxSaved = 10;

  void OnFirstTry() { available_ = std::min(kMaxSaved, available_ + kShare); }
  /// Takes one retry from the budget.
  /// @return false if the budget is exhausted.
  bool Take() {
    if (available_ < 1) return false;
    available_ -= 1;
    return true;
  }

 private:
  double available_ = kMaxSaved;
};

}  // namespace cowslip::engine
