#pragma once

/// @file Public header of the engine library: the forwarding logic of a
/// balancer and of a sidecar, without I/O. Both take typed events and the
/// current time, and append typed effects to a buffer; the caller executes
/// them.

#include "cowslip/engine/balancer.h"          // IWYU pragma: export
#include "cowslip/engine/balancer_effects.h"  // IWYU pragma: export
#include "cowslip/engine/counters.h"          // IWYU pragma: export
#include "cowslip/engine/effects.h"           // IWYU pragma: export
#include "cowslip/engine/engine_error.h"      // IWYU pragma: export
#include "cowslip/engine/member_role.h"       // IWYU pragma: export
#include "cowslip/engine/sidecar.h"           // IWYU pragma: export
#include "cowslip/engine/sidecar_effects.h"   // IWYU pragma: export
