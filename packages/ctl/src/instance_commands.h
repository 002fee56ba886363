#pragma once

#include <string>

#include "cowslip/settings.h"
#include "exit_code.h"

namespace cowslip::ctl {

/// Shows the ticket in force on each instance.
ExitCode ShowStatus(const settings::CtlSettings& settings);
/// Shows the service-level burn report of each instance.
ExitCode ReportBurn(const settings::CtlSettings& settings);
/// Checks a settings file of either program.
ExitCode CheckSettings(const std::string& file);

}  // namespace cowslip::ctl
