#pragma once

/// @file Public header of the flow library: ranking the upstreams of a service
/// for a flow, owner lookup, and tables of flows.

#include "cowslip/flow/admission.h"       // IWYU pragma: export
#include "cowslip/flow/arbitration.h"     // IWYU pragma: export
#include "cowslip/flow/contact_table.h"   // IWYU pragma: export
#include "cowslip/flow/flow_error.h"      // IWYU pragma: export
#include "cowslip/flow/flow_table.h"      // IWYU pragma: export
#include "cowslip/flow/hint_cache.h"      // IWYU pragma: export
#include "cowslip/flow/ranking.h"         // IWYU pragma: export
#include "cowslip/flow/redirect_table.h"  // IWYU pragma: export
#include "cowslip/flow/walk.h"            // IWYU pragma: export
