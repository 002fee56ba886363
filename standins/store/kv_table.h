#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "standins/store/kv_entry.h"

namespace cowslip::standin {

/// The keys that a read or a watch covers.
struct KeyRange {
  std::string key;
  /// Covers every key that starts with `key`.
  bool recurse = false;

  bool Covers(const std::string& other) const;
};

/// A key and its entry.
struct NamedEntry {
  std::string key;
  KvEntry entry;
};

/// Result of a read.
struct KvSnapshot {
  std::vector<NamedEntry> entries;
  /// Highest index of a change within the range that was read.
  std::uint64_t index = 0;
};

/// The keys of the store; every change raises the index. Not thread-safe.
class KvTable {
 public:
  const KvEntry* Find(const std::string& key) const;
  KvSnapshot Read(const KeyRange& range) const;
  /// @return the highest index of a change within the range.
  std::uint64_t IndexOf(const KeyRange& range) const;

  /// Writes value and flags; the lock is unchanged.
  KvEntry& Write(const std::string& key, const std::string& value,
                 std::uint64_t flags);
  /// Sets the holder of the lock of an existing key.
  /// @param session empty to release the lock.
  void SetSession(const std::string& key, const std::string& session);
  void Erase(const std::string& key);
  /// @return the keys that a session has locked.
  std::vector<std::string> LockedBy(const std::string& session) const;

 private:
  template <typename Map, typename Visitor>
  static void Visit(const Map& map, const KeyRange& range, Visitor visitor);

  std::map<std::string, KvEntry> entries_;
  /// Index of the deletion of each deleted key.
  std::map<std::string, std::uint64_t> tombstones_;
  std::uint64_t index_ = 1;
};

}  // namespace cowslip::standin
