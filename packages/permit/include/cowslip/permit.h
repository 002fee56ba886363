#pragma once

/// @file Public header of the permit library: permits, by which a
/// non-idempotent request runs at most once.

#include "cowslip/permit/permit.h"         // IWYU pragma: export
#include "cowslip/permit/permit_error.h"   // IWYU pragma: export
#include "cowslip/permit/permit_issuer.h"  // IWYU pragma: export
#include "cowslip/permit/permit_table.h"   // IWYU pragma: export
