#pragma once

#include <cstdint>
#include <ostream>
#include <string>

#include "cowslip/base/clock.h"
#include "standins/caller/coap_response.h"
#include "standins/caller/observe_order.h"

namespace cowslip::standin {

/// Prints the notifications of an observation and measures the gaps between
/// them.
class Observer {
 public:
  /// @param start of the observation, and of the first gap.
  Observer(std::ostream& out, TimePoint start) : out_(out), last_(start) {}

  void OnResponse(const CoapResponse& response, TimePoint now);
  /// Ends the last gap.
  /// @return the summary line.
  std::string Finish(TimePoint now);

  std::uint64_t notifications() const { return notifications_; }
  /// Code of an error response, empty if there was none.
  const std::string& error_code() const { return error_code_; }

 private:
  void EndGap(TimePoint now);

  std::ostream& out_;
  ObserveOrder order_;
  TimePoint last_;
  Duration longest_gap_{};
  std::uint64_t notifications_ = 0;
  std::uint64_t stale_ = 0;
  std::string error_code_;
};

}  // namespace cowslip::standin
