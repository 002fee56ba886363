#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::relay {

/// State of one key of the store after one write. Covers all keys but those of
/// tickets: instance records and announcements.
struct Item {
  std::string key;
  std::string value;        ///< Empty if the key was deleted.
  std::uint64_t index = 0;  ///< Modification index of the write.

  bool operator==(const Item&) const = default;
};

/// Selects the entries that a process receives from its peers.
struct Interest {
  bool everything = true;
  /// If not all: only announcements of these services.
  std::vector<ServiceId> services;

  bool operator==(const Interest&) const = default;
  /// @return whether the entry is selected.
  bool Covers(const Item& entry) const;
};

}  // namespace cowslip::relay
