#pragma once

#include <optional>

#include "cowslip/outlier/member_id.h"

namespace cowslip::outlier {

/// A member has become an outlier, or is none any more.
struct OutlierChange {
  MemberId member{};
  bool begins = false;
  std::optional<double> failure_share;  ///< Last known.
  std::optional<double> speed;          ///< Relative to its peers, last known.
};

}  // namespace cowslip::outlier
