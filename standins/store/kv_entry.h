#pragma once

#include <cstdint>
#include <string>

namespace cowslip::standin {

/// The value of one key and its attributes in the Consul API.
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
