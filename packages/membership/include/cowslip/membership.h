#pragma once

/// @file Public header of the membership library: announcements and views.

#include "cowslip/membership/announcement.h"      // IWYU pragma: export
#include "cowslip/membership/membership_error.h"  // IWYU pragma: export
#include "cowslip/membership/view.h"              // IWYU pragma: export
