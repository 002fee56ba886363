#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

#include "cowslip/base.h"

namespace cowslip::peers {

/// Names of data centres, in order.
using DataCenterNames = std::set<std::string, std::less<>>;

/// The evacuated data centres at one position of the store.
struct EvacuationSnapshot {
  /// Limit of evacuated data centres that are kept. Deployments have fewer than
  /// ten data centres; the limit bounds messages and memory.
  static constexpr std::size_t kMaxNames = 64;
  /// Longest valid name in bytes, as for PeerEntry::data_center.
  static constexpr std::size_t kMaxNameSize = 200;

  StorePosition position;
  DataCenterNames names;

  bool operator==(const EvacuationSnapshot&) const = default;

  static bool IsValidName(std::string_view name) {
    return !name.empty() && name.size() <= kMaxNameSize;
  }
};

/// Adds names up to EvacuationSnapshot::kMaxNames, in order.
/// @return whether all of them fit.
bool AddNames(const DataCenterNames& added, DataCenterNames& names);

}  // namespace cowslip::peers
