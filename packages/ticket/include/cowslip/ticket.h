#pragma once

/// @file Public header of the ticket library: tickets, which are numbered
/// changes of the configuration, and the state that results from them.

#include "cowslip/ticket/service.h"       // IWYU pragma: export
#include "cowslip/ticket/ticket.h"        // IWYU pragma: export
#include "cowslip/ticket/ticket_error.h"  // IWYU pragma: export
#include "cowslip/ticket/ticket_keys.h"   // IWYU pragma: export
#include "cowslip/ticket/ticket_state.h"  // IWYU pragma: export
