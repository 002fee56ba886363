#pragma once

#include "cowslip/daemon/daemon_error.h"
#include "cowslip/settings.h"

namespace cowslip::daemon {

/// Runs a sidecar until SIGTERM or SIGINT, then drains it.
///
/// Blocks the signals it waits for; call it from the main thread.
/// @return whether it started and ended as planned.
bool RunSidecar(const settings::DaemonSettings& settings,
                LastReason<DaemonError>& reason);

}  // namespace cowslip::daemon
