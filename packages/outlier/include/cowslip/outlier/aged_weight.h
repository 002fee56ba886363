#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

#include "cowslip/base.h"

namespace cowslip::outlier {

/// Mean of samples that lose half of their weight in a second. A small weight
/// is kept however old, so that an upstream that gets few requests has a value.
class AgedWeight {
 public:
  /// @param min_weight weight, in samples, that is kept.
  explicit AgedWeight(double min_weight) : min_weight_(min_weight) {}

  /// At a constant rate, half of the total weight is from the last second.
  static constexpr std::chrono::seconds kHalfLife{1};

  void Add(double value, TimePoint now) {
    Age(now);
    weight_ += 1;
    sum_ += value;
    square_sum_ += value * value;
  }
  double WeightAt(TimePoint now) const { return weight_ * Factor(now); }
  double SumAt(TimePoint now) const { return sum_ * Factor(now); }
  /// @return the mean of the samples; 0 if there are none.
  double Mean() const { return weight_ == 0 ? 0 : sum_ / weight_; }
  /// @return the standard error of Mean(), estimated from the samples.
  double StandardError() const {
    if (weight_ == 0) return 0;
    const double variance = square_sum_ / weight_ - Mean() * Mean();
    return std::sqrt(std::max(variance, 0.0) / weight_);
  }

 private:
  double Factor(TimePoint now) const {
    if (weight_ <= min_weight_ || now <= updated_) return 1;
    const auto half_lives = std::chrono::duration<double>(now - updated_) /
                            std::chrono::duration<double>(kHalfLife);
    return std::max(std::exp2(-half_lives), min_weight_ / weight_);
  }
  void Age(TimePoint now) {
    const double factor = Factor(now);
    weight_ *= factor;
    sum_ *= factor;
    square_sum_ *= factor;
    updated_ = std::max(updated_, now);
  }

  double min_weight_;
  double weight_ = 0;
  double sum_ = 0;
  double square_sum_ = 0;
  TimePoint updated_{};
};

}  // namespace cowslip::outlier
