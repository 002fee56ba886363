#pragma once

/// @file Public header of the base library: ids, endpoints, flow keys, time,
/// failure reasons and other types that all libraries share.

#include "cowslip/base/base64.h"             // IWYU pragma: export
#include "cowslip/base/bytes.h"              // IWYU pragma: export
#include "cowslip/base/clock.h"              // IWYU pragma: export
#include "cowslip/base/endpoint.h"           // IWYU pragma: export
#include "cowslip/base/file_descriptor.h"    // IWYU pragma: export
#include "cowslip/base/flow_key.h"           // IWYU pragma: export
#include "cowslip/base/ids.h"                // IWYU pragma: export
#include "cowslip/base/last_reason.h"        // IWYU pragma: export
#include "cowslip/base/latency_histogram.h"  // IWYU pragma: export
#include "cowslip/base/store_position.h"     // IWYU pragma: export
#include "cowslip/base/token_bucket.h"       // IWYU pragma: export
#include "cowslip/base/upstream.h"           // IWYU pragma: export
