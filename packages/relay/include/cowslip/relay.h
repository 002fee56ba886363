#pragma once

/// @file Public header of the relay library: how tickets and announcements
/// spread between processes without a store call per process.

#include "cowslip/relay/effects.h"        // IWYU pragma: export
#include "cowslip/relay/message.h"        // IWYU pragma: export
#include "cowslip/relay/message_codec.h"  // IWYU pragma: export
#include "cowslip/relay/node.h"           // IWYU pragma: export
#include "cowslip/relay/node_options.h"   // IWYU pragma: export
#include "cowslip/relay/peer.h"           // IWYU pragma: export
#include "cowslip/relay/peer_ranking.h"   // IWYU pragma: export
#include "cowslip/relay/relay_error.h"    // IWYU pragma: export
#include "cowslip/relay/store_entry.h"    // IWYU pragma: export
#include "cowslip/relay/store_replica.h"  // IWYU pragma: export
#include "cowslip/relay/ticket_log.h"     // IWYU pragma: export
