#include "standins/caller/observer.h"

#include <algorithm>

namespace cowslip::standin {
namespace {

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

void Observer::OnResponse(const CoapResponse& response, TimePoint now) {
  if (response.is_error) {
    error_code_ = response.code;
    out_ << "code=" << response.code << std::endl;
    return;
  }
  if (response.observe && !order_.Accept(*response.observe, now)) {
    ++stale_;
    out_ << "stale=\"" << response.payload << "\"" << std::endl;
    return;
  }
  EndGap(now);
  ++notifications_;
  out_ << "time_ms=" << Milliseconds(now.time_since_epoch()) << " observe="
       << (response.observe ? std::to_string(*response.observe) : "none")
       << " payload=\"" << response.payload << "\"" << std::endl;
}

void Observer::EndGap(TimePoint now) {
  longest_gap_ = std::max(longest_gap_, now - last_);
  last_ = now;
}

std::string Observer::Finish(TimePoint now) {
  EndGap(now);
  return "notifications=" + std::to_string(notifications_) +
         " stale=" + std::to_string(stale_) +
         " gap_max_ms=" + std::to_string(Milliseconds(longest_gap_));
}

}  // namespace cowslip::standin
