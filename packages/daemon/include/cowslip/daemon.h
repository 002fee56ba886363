#pragma once

/// @file Public header of the daemon library: the shells round the engines.

#include "cowslip/daemon/balancer_daemon.h"  // IWYU pragma: export
#include "cowslip/daemon/daemon_error.h"     // IWYU pragma: export
#include "cowslip/daemon/sidecar_daemon.h"   // IWYU pragma: export
