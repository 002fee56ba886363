#pragma once

#include <optional>
#include <string>

#include "cowslip/base.h"
#include "cowslip/settings/settings_error.h"
#include "cowslip/settings/store_settings.h"
#include "cowslip/yaml.h"

namespace cowslip::settings {

/// Reads the map that both programs share.
StoreSettings ReadStore(yaml::MapReader& parent);

/// @return the whole file, or std::nullopt.
std::optional<std::string> ReadFile(const std::string& path,
                                    LastReason<SettingsError>& reason);

}  // namespace cowslip::settings
