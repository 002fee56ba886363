#pragma once

/// @file Public header of the segment library: placement and forwarding of
/// connections that are carried in datagrams.

#include "cowslip/segment/balancer.h"                // IWYU pragma: export
#include "cowslip/segment/balancer_stats.h"          // IWYU pragma: export
#include "cowslip/segment/contact_book.h"            // IWYU pragma: export
#include "cowslip/segment/flow_ledger.h"             // IWYU pragma: export
#include "cowslip/segment/frame.h"                   // IWYU pragma: export
#include "cowslip/segment/load_estimator.h"          // IWYU pragma: export
#include "cowslip/segment/member.h"                  // IWYU pragma: export
#include "cowslip/segment/member_lists.h"            // IWYU pragma: export
#include "cowslip/segment/observer.h"                // IWYU pragma: export
#include "cowslip/segment/outbox.h"                  // IWYU pragma: export
#include "cowslip/segment/route_table.h"             // IWYU pragma: export
#include "cowslip/segment/segment.h"                 // IWYU pragma: export
#include "cowslip/segment/sidecar.h"                 // IWYU pragma: export
#include "cowslip/segment/sidecar_stats.h"           // IWYU pragma: export
#include "cowslip/segment/upstream_presence.h"       // IWYU pragma: export
#include "cowslip/segment/upstream_state_tracker.h"  // IWYU pragma: export
