#include "cowslip/settings/settings_error.h"

namespace cowslip::settings {

std::string_view ErrorMessage(SettingsError error) {
  switch (error) {
    case SettingsError::kOk:
      return "ok";
    case SettingsError::kUnreadable:
      return "the file can't be read";
    case SettingsError::kInvalid:
      return "the settings are not valid";
  }
  return "unknown error";
}

}  // namespace cowslip::settings
