#pragma once

#include <optional>
#include <string>

#include "cowslip/base.h"
#include "cowslip/settings/settings_error.h"
#include "cowslip/settings/store_settings.h"
#include "cowslip/yaml.h"

namespace cowslip::settings {

/// Reads the "store" section, which cowslipd and cowslipctl share.
StoreSettings ReadStore(yaml::MapReader& parent);

/// @return the content of the file, std::nullopt if it can't be read.
std::optional<std::string> ReadFile(const std::string& path,
                                    LastReason<SettingsError>& reason);

}  // namespace cowslip::settings
