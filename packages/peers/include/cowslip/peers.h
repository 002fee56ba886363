#pragma once

/// @file Public header of the peers library: a membership table of all
/// instances that is kept up to date by gossip, without queries to the store.

#include "cowslip/peers/address_spread.h"       // IWYU pragma: export
#include "cowslip/peers/byte_budget.h"          // IWYU pragma: export
#include "cowslip/peers/change_forwarder.h"     // IWYU pragma: export
#include "cowslip/peers/config_version.h"       // IWYU pragma: export
#include "cowslip/peers/document_digest.h"      // IWYU pragma: export
#include "cowslip/peers/document_holders.h"     // IWYU pragma: export
#include "cowslip/peers/evacuation_exchange.h"  // IWYU pragma: export
#include "cowslip/peers/evacuation_report.h"    // IWYU pragma: export
#include "cowslip/peers/evacuation_snapshot.h"  // IWYU pragma: export
#include "cowslip/peers/evacuation_state.h"     // IWYU pragma: export
#include "cowslip/peers/gossip.h"               // IWYU pragma: export
#include "cowslip/peers/held_document.h"        // IWYU pragma: export
#include "cowslip/peers/message.h"              // IWYU pragma: export
#include "cowslip/peers/message_cause.h"        // IWYU pragma: export
#include "cowslip/peers/peer_entry.h"           // IWYU pragma: export
#include "cowslip/peers/peer_table.h"           // IWYU pragma: export
#include "cowslip/peers/start_schedule.h"       // IWYU pragma: export
#include "cowslip/peers/store_era.h"            // IWYU pragma: export
#include "cowslip/peers/stored_evacuations.h"   // IWYU pragma: export
#include "cowslip/peers/version_chain.h"        // IWYU pragma: export
#include "cowslip/peers/watch_duty.h"           // IWYU pragma: export
