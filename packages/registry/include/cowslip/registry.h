#pragma once

/// @file Public header of the registry library: reading, submitting and
/// compacting the tickets in the store.

#include "cowslip/registry/compaction.h"       // IWYU pragma: export
#include "cowslip/registry/history.h"          // IWYU pragma: export
#include "cowslip/registry/registry_error.h"   // IWYU pragma: export
#include "cowslip/registry/ticket_registry.h"  // IWYU pragma: export
