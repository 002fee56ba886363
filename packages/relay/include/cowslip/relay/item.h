#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::relay {

/// State of one key of the store after one write. Covers all keys but those of
/// tickets: instance records and announcements.
struct StoreEntry {
  std::string key;
  std::string value;  ///< Empty if the key was deleted.
  /// Modification index of the write, and the era of the store, see
  /// ReturnDetector.
  StorePosition position;

  bool operator==(const StoreEntry&) const = default;
};

/// Selects the entries that a process receives from its peers.
struct Subscription {
  bool all = true;
  /// If not all: only announcements of these services.
  std::vector<ServiceId> services;

  bool operator==(const Subscription&) const = default;
  /// @return whether the entry is selected.
  bool Matches(const StoreEntry& entry) const;
};

}  // namespace cowslip::relay
