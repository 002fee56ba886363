#pragma once

/// @file Public header of the relay library: distribution of tickets, instance
/// records and announcements from the store through a tree of processes, so
/// that not every process reads the store.

#include "cowslip/relay/effects.h"          // IWYU pragma: export
#include "cowslip/relay/item.h"             // IWYU pragma: export
#include "cowslip/relay/item_table.h"       // IWYU pragma: export
#include "cowslip/relay/listing.h"          // IWYU pragma: export
#include "cowslip/relay/message.h"          // IWYU pragma: export
#include "cowslip/relay/message_codec.h"    // IWYU pragma: export
#include "cowslip/relay/node.h"             // IWYU pragma: export
#include "cowslip/relay/node_options.h"     // IWYU pragma: export
#include "cowslip/relay/peer.h"             // IWYU pragma: export
#include "cowslip/relay/peer_ranking.h"     // IWYU pragma: export
#include "cowslip/relay/relay_error.h"      // IWYU pragma: export
#include "cowslip/relay/return_detector.h"  // IWYU pragma: export
#include "cowslip/relay/ticket_log.h"       // IWYU pragma: export
#include "cowslip/relay/ticket_position.h"  // IWYU pragma: export
