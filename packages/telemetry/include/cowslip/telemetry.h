#pragma once

/// @file Public header of the telemetry library: logs, metrics, SLO reports.

#include "cowslip/telemetry/bounded_log.h"  // IWYU pragma: export
#include "cowslip/telemetry/burn_rate.h"    // IWYU pragma: export
#include "cowslip/telemetry/log.h"          // IWYU pragma: export
#include "cowslip/telemetry/metrics.h"      // IWYU pragma: export
