#pragma once

#include <string>
#include <vector>

#include "tests/process/deployment_options.h"
#include "tests/process/site.h"

namespace cowslip::testing {

/// @return the settings of cowslipctl.
std::string CtlSettingsText(const Site& site);
/// @return the settings of a daemon without the section of its role.
std::string DaemonSettingsText(const Site& site, const std::string& name,
                               const std::string& http,
                               const std::string& control,
                               const std::string& drain_timeout);
/// @return a ticket file.
std::string TicketText(const Site& site, int number,
                       const std::vector<ServiceOptions>& services,
                       const std::vector<int>& removed);

}  // namespace cowslip::testing
