#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/settings/settings_error.h"
#include "cowslip/settings/store_settings.h"

namespace cowslip::settings {

/// An instance whose state operators ask for.
struct InstanceAddress {
  std::string name;
  Endpoint http;
};

/// Settings of cowslipctl.
struct CtlSettings {
  StoreSettings store;
  std::vector<InstanceAddress> instances;
};

std::optional<CtlSettings> ParseCtlSettings(std::string_view text,
                                            std::string_view file,
                                            LastReason<SettingsError>& reason);

std::optional<CtlSettings> LoadCtlSettings(const std::string& path,
                                           LastReason<SettingsError>& reason);

}  // namespace cowslip::settings
