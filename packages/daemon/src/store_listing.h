#pragma once

#include <vector>

#include "cowslip/consul.h"
#include "cowslip/relay.h"

namespace cowslip::daemon {

/// Key prefix of all entries of the system in the store.
inline constexpr std::string_view kStoreRoot = "cowslip/";

/// Splits a listing of the store into tickets (the snapshot first, then by
/// number) and other items.
relay::Listing ToListing(const consul::ListResult& result);

}  // namespace cowslip::daemon
