#pragma once

#include <cstdint>

namespace cowslip::outlier {

/// Learns the usual size of the responses of one service address, a moving
/// median.
///
/// Load pattern: an upstream that answers part of its requests with errors,
/// which are much smaller than its other responses. A mean would be moved by
/// single large responses, and by the errors themselves.
class UsualSize {
 public:
  /// Responses that have to be known before one is judged by its size.
  static constexpr int kMinSamples = 8;

  /// @return whether a response is so small that it may be an error.
  bool IsSuspicious(std::uint64_t bytes) const;
  void Add(std::uint64_t bytes);

 private:
  double log_size_ = 0;
  int samples_ = 0;  ///< Up to kMinSamples.
};

}  // namespace cowslip::outlier
