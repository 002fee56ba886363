#pragma once

#include <string>

#include "cowslip/settings.h"
#include "exit_code.h"

namespace cowslip::ctl {

/// Prints the state of each instance, the ticket in force included.
ExitCode ShowStatus(const settings::CtlSettings& settings);
/// Prints the SLO report of each instance.
ExitCode ShowBurnReport(const settings::CtlSettings& settings);
/// Validates a settings file of cowslipd or cowslipctl.
ExitCode CheckSettings(const std::string& file);

}  // namespace cowslip::ctl
