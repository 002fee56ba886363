#include "response_codec.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cowslip::segment {
namespace {

using outlier::ResponseReport;

constexpr std::uint8_t kEmpty = 255;
constexpr std::uint8_t kUnknownShare = 255;
constexpr double kWholeShare = 254;
constexpr double kStepsPerOctave = 8;
constexpr double kMaxTime = 255;
/// Unit of the response time.
using TenMicroseconds =
    std::chrono::duration<double, std::ratio_multiply<std::deca, std::micro>>;

std::uint8_t EncodeTime(Duration time) {
  const double units = std::max(TenMicroseconds(time).count(), 1.0);
  const double steps = std::round(kStepsPerOctave * std::log2(units)) + 1;
  return static_cast<std::uint8_t>(std::min(steps, kMaxTime));
}

Duration DecodeTime(std::uint8_t field) {
  return std::chrono::duration_cast<Duration>(
      TenMicroseconds(std::exp2((field - 1) / kStepsPerOctave)));
}

}  // namespace

EncodedResponses EncodeResponses(const ResponseReport& report) {
  EncodedResponses encoded;
  encoded.good_run =
      report.is_empty
          ? kEmpty
          : static_cast<std::uint8_t>(
                1 + std::min(report.good_run, ResponseReport::kMaxGoodRun));
  encoded.failures = report.failures;
  if (report.failure_share) {
    const double share = std::clamp(*report.failure_share, 0.0, 1.0);
    encoded.failure_share =
        static_cast<std::uint8_t>(std::round(share * kWholeShare));
  }
  if (report.response_time) {
    encoded.response_time = EncodeTime(*report.response_time);
  }
  return encoded;
}

std::optional<ResponseReport> DecodeResponses(const EncodedResponses& encoded) {
  if (encoded.good_run == 0) return std::nullopt;
  ResponseReport report;
  report.is_empty = encoded.good_run == kEmpty;
  if (!report.is_empty) {
    report.good_run =
        std::min<std::uint8_t>(encoded.good_run - 1, report.kMaxGoodRun);
  }
  report.failures = encoded.failures;
  if (encoded.failure_share != kUnknownShare) {
    report.failure_share = encoded.failure_share / kWholeShare;
  }
  if (encoded.response_time != 0) {
    report.response_time = DecodeTime(encoded.response_time);
  }
  return report;
}

}  // namespace cowslip::segment
