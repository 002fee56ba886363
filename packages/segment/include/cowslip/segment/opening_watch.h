#pragma once

#include <deque>

#include "cowslip/base.h"
#include "cowslip/segment/pending_opening.h"

namespace cowslip::segment {

/// Openings that the upstream has got and not yet answered, oldest first.
using OpeningWatch = std::deque<PendingOpening>;

}  // namespace cowslip::segment
