#pragma once

/// @file Public header of the permit library: at most one run per permit.

#include "cowslip/permit/permit.h"         // IWYU pragma: export
#include "cowslip/permit/permit_error.h"   // IWYU pragma: export
#include "cowslip/permit/permit_issuer.h"  // IWYU pragma: export
#include "cowslip/permit/permit_table.h"   // IWYU pragma: export
