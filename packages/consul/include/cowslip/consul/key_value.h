#pragma once

#include <cstdint>
#include <string>

namespace cowslip::consul {

/// One entry of the store.
struct KeyValue {
  std::string key;
  /// The decoded bytes.
  std::string value;
  /// Index of the last write, as expected by a compare-and-set.
  std::uint64_t modify_index = 0;
  /// Id of the session that holds the lock, empty if there is none.
  std::string session;
};

}  // namespace cowslip::consul
