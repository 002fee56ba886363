#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>

#include "cowslip/base.h"
#include "cowslip/outlier/aged_weight.h"

namespace cowslip::outlier {

/// Typical time until the first byte of the responses of one service address.
///
/// Load pattern: requests of which three in a hundred cost seven times the
/// mean, and upstreams that become several times slower from one moment to the
/// next. The times are averaged by their logarithms, and the standard error is
/// subtracted twice, so that few long requests don't make an upstream slow. A
/// run of times that are far from the average starts a new one.
class TypicalTime {
 public:
  /// Samples that have to be known.
  static constexpr int kMinSamples = 16;
  /// Times in a row, each by kChangeFactor longer (or each shorter) than the
  /// average, that start a new average. Of requests of which three in a hundred
  /// are that long, one in 40 million begins such a run.
  static constexpr std::size_t kChangeRun = 5;
  static constexpr double kChangeFactor = 3;
  static constexpr double kStandardErrors = 2;
  /// Longest time that is counted; a longer one is counted as this.
  static constexpr std::chrono::seconds kMaxTime{60};

  void Add(Duration time, TimePoint now);
  /// @return std::nullopt if too few samples are known.
  std::optional<Duration> Get() const;

 private:
  /// Weight that is kept: a mean of fewer samples is noise.
  static constexpr double kMinWeight = 16;

  AgedWeight log_seconds_{kMinWeight};
  int samples_ = 0;  ///< Up to kMinSamples.
  std::array<double, kChangeRun> run_{};
  std::size_t run_length_ = 0;
  bool run_is_longer_ = false;
};

}  // namespace cowslip::outlier
