#pragma once

/// @file Public header of the outlier library: which upstreams fail or are slow
/// beside their peers, learned from what packet headers show of responses.

#include "cowslip/outlier/aged_weight.h"          // IWYU pragma: export
#include "cowslip/outlier/member_id.h"            // IWYU pragma: export
#include "cowslip/outlier/outlier_change.h"       // IWYU pragma: export
#include "cowslip/outlier/outlier_detector.h"     // IWYU pragma: export
#include "cowslip/outlier/peer_median.h"          // IWYU pragma: export
#include "cowslip/outlier/response_report.h"      // IWYU pragma: export
#include "cowslip/outlier/response_statistics.h"  // IWYU pragma: export
#include "cowslip/outlier/trial_schedule.h"       // IWYU pragma: export
#include "cowslip/outlier/typical_time.h"         // IWYU pragma: export
#include "cowslip/outlier/usual_size.h"           // IWYU pragma: export
