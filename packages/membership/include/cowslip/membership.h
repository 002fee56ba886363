#pragma once

/// @file Public header of the membership library: views of the upstreams of
/// every service, detection of failed upstreams, and the lease that allows an
/// upstream to accept new work.

#include "cowslip/membership/announcement.h"      // IWYU pragma: export
#include "cowslip/membership/death_inquiry.h"     // IWYU pragma: export
#include "cowslip/membership/lease_gate.h"        // IWYU pragma: export
#include "cowslip/membership/liveness_effects.h"  // IWYU pragma: export
#include "cowslip/membership/liveness_monitor.h"  // IWYU pragma: export
#include "cowslip/membership/liveness_options.h"  // IWYU pragma: export
#include "cowslip/membership/membership_error.h"  // IWYU pragma: export
#include "cowslip/membership/upstream_health.h"   // IWYU pragma: export
#include "cowslip/membership/view.h"              // IWYU pragma: export
#include "cowslip/membership/witness_desk.h"      // IWYU pragma: export
