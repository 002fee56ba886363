#pragma once

#include "cowslip/base.h"

namespace cowslip::scheduling {

/// What would become of a new request, and of those that wait already, if an
/// upstream accepted it.
struct AnswerForecast {
  Duration answer_time{};     ///< From now to the response.
  bool in_time = false;       ///< It would meet its latency target.
  bool before_limit = false;  ///< It would be answered before its time limit.
  /// A request that would be in time would become late.
  bool makes_late = false;
  /// Some requests would become late or pass their time limits, and all of them
  /// are more urgent.
  bool displaces_only_more_urgent = false;
};

}  // namespace cowslip::scheduling
