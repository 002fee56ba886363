#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cowslip/consul/key_value.h"

namespace cowslip::consul {

/// Result of a read of one key.
struct GetResult {
  /// std::nullopt if the key does not exist.
  std::optional<KeyValue> value;
  /// Index to pass to the next watch.
  std::uint64_t index = 0;
};

/// Result of a read of all keys with a prefix.
struct ListResult {
  std::vector<KeyValue> values;
  /// Index to pass to the next watch.
  std::uint64_t index = 0;
};

/// Result of a write.
struct CasResult {
  /// False if the condition of the write did not hold.
  bool applied = false;
};

/// A session that was created.
struct Session {
  std::string id;
};

/// Result of the renewal of a session.
struct RenewResult {
  /// False if the session does not exist any more.
  bool alive = false;
};

}  // namespace cowslip::consul
