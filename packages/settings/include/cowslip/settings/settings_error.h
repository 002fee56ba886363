#pragma once

#include <string_view>

namespace cowslip::settings {

enum class SettingsError {
  kOk,
  kUnreadable,
  kInvalid,
};

/// @return one sentence for operators.
std::string_view ErrorMessage(SettingsError error);

}  // namespace cowslip::settings
