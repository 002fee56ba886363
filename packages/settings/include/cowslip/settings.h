#pragma once

/// @file Public header of the settings library: validated YAML settings.

#include "cowslip/settings/ctl_settings.h"     // IWYU pragma: export
#include "cowslip/settings/daemon_settings.h"  // IWYU pragma: export
#include "cowslip/settings/settings_error.h"   // IWYU pragma: export
