#pragma once

#include <array>
#include <chrono>
#include <cstddef>

#include "cowslip/base.h"

namespace cowslip::cost {

/// Distribution of the service times of one kind of request, in logarithmic
/// bins. Older samples lose weight.
///
/// Load pattern: requests that look alike, a few of which cost several times
/// the mean. The longer one has run, the more it is likely to be one of these.
class ServiceTimes {
 public:
  static constexpr std::size_t kBins = 16;
  /// Upper bound of the first bin. Each further bin ends at twice the bound of
  /// the one before; the last one, which starts at 33 s, has no bound.
  static constexpr std::chrono::milliseconds kFirstBound{2};
  /// Time under load in which a sample loses half of its weight, so that half
  /// of the total weight is from the last second under load.
  static constexpr std::chrono::seconds kHalfLife{1};
  /// Weight, in samples, that is kept however old: the mean of fewer samples of
  /// a distribution with a long tail is noise.
  static constexpr double kMinSamples = 8;
  /// Longest service time that is counted; a longer one is counted as this.
  static constexpr std::chrono::seconds kMaxSample{60};

  /// @param loaded_time under load since the start of the model; never
  /// decreases.
  void Add(Duration service_time, Duration loaded_time);
  bool empty() const { return total_.weight == 0; }
  /// @return the mean; zero if there is no sample.
  Duration Mean() const;
  /// @return the mean of what remains of requests that run for longer than
  /// `elapsed`, at most kMaxSample. For one that has run longer than all
  /// samples, as long as it has run: in a distribution with a long tail, the
  /// remaining time grows in proportion to the time that has passed.
  Duration ExpectedRemaining(Duration elapsed) const;

 private:
  /// Samples between two bounds.
  struct Bin {
    double weight = 0;
    double seconds = 0;  ///< Weighted sum of the samples.
  };

  void Age(Duration loaded_time);

  std::array<Bin, kBins> bins_{};
  Bin total_;
  Duration aged_until_{};
};

}  // namespace cowslip::cost
