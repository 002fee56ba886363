#pragma once

/// @file Public header of the segment library: placement of connections on
/// upstreams, and forwarding of their packets. The packets are TCP-like
/// segments that travel in UDP datagrams.

#include "cowslip/segment/admission.h"                // IWYU pragma: export
#include "cowslip/segment/balancer.h"                 // IWYU pragma: export
#include "cowslip/segment/balancer_stats.h"           // IWYU pragma: export
#include "cowslip/segment/candidate_selector.h"       // IWYU pragma: export
#include "cowslip/segment/data_center_status.h"       // IWYU pragma: export
#include "cowslip/segment/flow_knowledge.h"           // IWYU pragma: export
#include "cowslip/segment/flow_state_table.h"         // IWYU pragma: export
#include "cowslip/segment/frame.h"                    // IWYU pragma: export
#include "cowslip/segment/load_estimator.h"           // IWYU pragma: export
#include "cowslip/segment/locality.h"                 // IWYU pragma: export
#include "cowslip/segment/long_flow.h"                // IWYU pragma: export
#include "cowslip/segment/member.h"                   // IWYU pragma: export
#include "cowslip/segment/observer.h"                 // IWYU pragma: export
#include "cowslip/segment/outbox.h"                   // IWYU pragma: export
#include "cowslip/segment/owner_lookup.h"             // IWYU pragma: export
#include "cowslip/segment/owner_query.h"              // IWYU pragma: export
#include "cowslip/segment/placement.h"                // IWYU pragma: export
#include "cowslip/segment/placement_counts.h"         // IWYU pragma: export
#include "cowslip/segment/refusal_counts.h"           // IWYU pragma: export
#include "cowslip/segment/refusal_reason.h"           // IWYU pragma: export
#include "cowslip/segment/refused_callers.h"          // IWYU pragma: export
#include "cowslip/segment/request_dispatcher.h"       // IWYU pragma: export
#include "cowslip/segment/response_monitor.h"         // IWYU pragma: export
#include "cowslip/segment/retry_budget.h"             // IWYU pragma: export
#include "cowslip/segment/round_trip_estimator.h"     // IWYU pragma: export
#include "cowslip/segment/route_table.h"              // IWYU pragma: export
#include "cowslip/segment/segment.h"                  // IWYU pragma: export
#include "cowslip/segment/sidecar.h"                  // IWYU pragma: export
#include "cowslip/segment/sidecar_state_table.h"      // IWYU pragma: export
#include "cowslip/segment/sidecar_stats.h"            // IWYU pragma: export
#include "cowslip/segment/syn_refusal.h"              // IWYU pragma: export
#include "cowslip/segment/upstream_gate.h"            // IWYU pragma: export
#include "cowslip/segment/upstream_liveness_timer.h"  // IWYU pragma: export
#include "cowslip/segment/upstream_port.h"            // IWYU pragma: export
#include "cowslip/segment/upstream_presence.h"        // IWYU pragma: export
