#pragma once

#include <algorithm>

namespace cowslip::engine {

/// Limits retries to a share of the requests, so that retries do not multiply
/// the load on a service that is failing.
class RetryBudget {
 public:
  /// Retries allowed per request.
  static constexpr double kRetriesPerRequest = 0.1;
  /// Upper limit of the retries that unused budget adds up to.
  static constexpr double kMaxBalance = 10;

  void OnFirstTry() {
    available_ = std::min(kMaxBalance, available_ + kRetriesPerRequest);
  }
  /// Takes one retry from the budget.
  /// @return false if the budget is exhausted.
  bool TryTake() {
    if (available_ < 1) return false;
    available_ -= 1;
    return true;
  }

 private:
  double available_ = kMaxBalance;
};

}  // namespace cowslip::engine
