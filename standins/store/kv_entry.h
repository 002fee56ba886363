#pragma once

#include <cstdint>
#include <string>

namespace cowslip::standin {

/// One key of the store with its published attributes.
struct KvEntry {
  std::string value;
  std::uint64_t flags = 0;
  std::uint64_t create_index = 0;
  std::uint64_t modify_index = 0;
  std::uint64_t lock_index = 0;
  /// Id of the session that holds the lock, empty if there is none.
  std::string session;
};

}  // namespace cowslip::standin
