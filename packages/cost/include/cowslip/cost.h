#pragma once

/// @file Public header of the cost library: what requests are likely to cost an
/// upstream, learned from the service times of earlier ones.

#include "cowslip/cost/cost_model.h"       // IWYU pragma: export
#include "cowslip/cost/flow_load_model.h"  // IWYU pragma: export
#include "cowslip/cost/service_table.h"    // IWYU pragma: export
#include "cowslip/cost/service_times.h"    // IWYU pragma: export
