#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::relay {

/// One key of the store, other than tickets, as of one write.
struct StoreEntry {
  std::string key;
  std::string value;        ///< Empty once the key is deleted.
  std::uint64_t index = 0;  ///< The store's index of the write.

  bool operator==(const StoreEntry&) const = default;
};

/// Which items a process wants.
struct Subscription {
  bool all = true;
  std::vector<ServiceId> services;  ///< Announcements wanted otherwise.

  bool operator==(const Subscription&) const = default;
  bool Matches(const StoreEntry& item) const;
};

}  // namespace cowslip::relay
