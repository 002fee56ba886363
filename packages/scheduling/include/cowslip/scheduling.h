#pragma once

/// @file Public header of the scheduling library: the order in which the
/// requests of callers get the slots of one upstream. No I/O.

#include "cowslip/scheduling/answer_forecast.h"       // IWYU pragma: export
#include "cowslip/scheduling/held_packets.h"          // IWYU pragma: export
#include "cowslip/scheduling/priority_counts.h"       // IWYU pragma: export
#include "cowslip/scheduling/queued_request.h"        // IWYU pragma: export
#include "cowslip/scheduling/request_order.h"         // IWYU pragma: export
#include "cowslip/scheduling/request_rate.h"          // IWYU pragma: export
#include "cowslip/scheduling/request_scheduler.h"     // IWYU pragma: export
#include "cowslip/scheduling/request_terms.h"         // IWYU pragma: export
#include "cowslip/scheduling/sliding_window_limit.h"  // IWYU pragma: export
#include "cowslip/scheduling/slot_table.h"            // IWYU pragma: export
#include "cowslip/scheduling/warm_up_limiter.h"       // IWYU pragma: export
