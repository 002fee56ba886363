#pragma once

#include <string_view>

namespace cowslip::settings {

/// Why settings could not be loaded.
enum class SettingsError {
  kOk,
  kUnreadable,  ///< The file can't be read.
  kInvalid,  ///< Not valid YAML, or a setting is unknown, missing or invalid.
};

/// @return a one-line message for operators.
std::string_view ErrorMessage(SettingsError error);

}  // namespace cowslip::settings
