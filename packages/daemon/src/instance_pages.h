#pragma once

#include <string>

#include "cowslip/daemon/control_thread.h"
#include "cowslip/daemon/http_face.h"
#include "cowslip/settings.h"
#include "cowslip/telemetry.h"

namespace cowslip::daemon {

/// @return the pages that both roles show; each reads the control thread.
HttpContent MakeInstancePages(const settings::DaemonSettings& settings,
                              const ControlThread& control,
                              const telemetry::Metrics& metrics);

}  // namespace cowslip::daemon
