#pragma once

#include <string>

#include "cowslip/daemon/control_thread.h"
#include "cowslip/daemon/http_server.h"
#include "cowslip/settings.h"
#include "cowslip/telemetry.h"

namespace cowslip::daemon {

/// @return handlers of the HTTP pages that balancers and sidecars share; they
///     keep references to all parameters.
HttpHandlers MakeInstanceHandlers(const settings::DaemonSettings& settings,
                                  const ControlThread& control,
                                  const telemetry::Metrics& metrics);

}  // namespace cowslip::daemon
