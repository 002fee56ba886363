#pragma once

#include <vector>

#include "cowslip/consul.h"
#include "cowslip/relay.h"

namespace cowslip::daemon {

/// The store key below which everything of the system stands.
inline constexpr std::string_view kStoreRoot = "cowslip/";

/// Sorts a listing of the store into tickets, in order, and items.
relay::Listing ToListing(const consul::ListResult& result);

}  // namespace cowslip::daemon
