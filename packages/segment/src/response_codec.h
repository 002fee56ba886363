#pragma once

#include <cstdint>
#include <optional>

#include "cowslip/outlier.h"

namespace cowslip::segment {

/// A report of responses in the four bytes that it has in an acknowledgement.
struct EncodedResponses {
  /// Requests answered since the last failure plus 1, at most 251; 255 if none
  /// has ended since the upstream started; 0 in earlier builds.
  std::uint8_t good_run = 0;
  std::uint8_t failures = 0;         ///< Modulo 256.
  std::uint8_t failure_share = 255;  ///< In 1/254; 255 if it is not known.
  /// 0 if it is not known, otherwise 1 plus eight times the binary logarithm of
  /// the time in 10 us: steps of 9 % up to 29 s, which is enough to compare
  /// members.
  std::uint8_t response_time = 0;
};

EncodedResponses EncodeResponses(const outlier::ResponseReport& report);
/// @return std::nullopt if the sender is of an earlier build.
std::optional<outlier::ResponseReport> DecodeResponses(
    const EncodedResponses& encoded);

}  // namespace cowslip::segment
