#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/settings/settings_error.h"
#include "cowslip/settings/store_settings.h"

namespace cowslip::settings {

/// An instance whose state cowslipctl can query.
struct InstanceAddress {
  std::string name;
  Endpoint http;  ///< Its HTTP server.
};

/// Settings of cowslipctl, the operators' command-line tool.
struct CtlSettings {
  StoreSettings store;
  std::vector<InstanceAddress> instances;
};

/// Parses and validates the settings of cowslipctl.
/// @param file name of the source, for the reason: "file:line: field".
/// @return std::nullopt if any setting is invalid.
std::optional<CtlSettings> ParseCtlSettings(std::string_view text,
                                            std::string_view file,
                                            LastReason<SettingsError>& reason);

/// Reads a file and parses it as ParseCtlSettings() does.
std::optional<CtlSettings> LoadCtlSettings(const std::string& path,
                                           LastReason<SettingsError>& reason);

}  // namespace cowslip::settings
