#pragma once

#include "cowslip/daemon/daemon_error.h"
#include "cowslip/settings.h"

namespace cowslip::daemon {

/// Runs a sidecar process until SIGTERM or SIGINT, then drains it.
///
/// Blocks both signals in the calling thread and in threads started later; call
/// it from the main thread before any other thread is started.
/// @return true after an orderly shutdown, false if the start failed or another
///     process has claimed the upstream id.
bool RunSidecar(const settings::DaemonSettings& settings,
                LastReason<DaemonError>& reason);

}  // namespace cowslip::daemon
