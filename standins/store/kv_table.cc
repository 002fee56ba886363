#include "standins/store/kv_table.h"

#include <algorithm>

namespace cowslip::standin {

bool KeyRange::Covers(const std::string& other) const {
  return recurse ? other.starts_with(key) : other == key;
}

template <typename Map, typename Visitor>
void KvTable::Visit(const Map& map, const KeyRange& range, Visitor visitor) {
  for (auto at = map.lower_bound(range.key);
       at != map.end() && range.Covers(at->first); ++at) {
    visitor(at->first, at->second);
  }
}

const KvEntry* KvTable::Find(const std::string& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

KvSnapshot KvTable::Read(const KeyRange& range) const {
  KvSnapshot snapshot;
  snapshot.index = IndexOf(range);
  Visit(entries_, range,
        [&snapshot](const std::string& key, const KvEntry& entry) {
          snapshot.entries.push_back({key, entry});
        });
  return snapshot;
}

std::uint64_t KvTable::IndexOf(const KeyRange& range) const {
  std::uint64_t index = 1;
  Visit(entries_, range, [&index](const std::string&, const KvEntry& entry) {
    index = std::max(index, entry.modify_index);
  });
  Visit(tombstones_, range,
        [&index](const std::string&, std::uint64_t deleted) {
          index = std::max(index, deleted);
        });
  return index;
}

KvEntry& KvTable::Write(const std::string& key, const std::string& value,
                        std::uint64_t flags) {
  ++index_;
  tombstones_.erase(key);
  const auto [at, is_new] = entries_.try_emplace(key);
  auto& entry = at->second;
  if (is_new) entry.create_index = index_;
  entry.modify_index = index_;
  entry.value = value;
  entry.flags = flags;
  return entry;
}

void KvTable::SetSession(const std::string& key, const std::string& session) {
  auto& entry = entries_.at(key);
  entry.modify_index = ++index_;
  entry.session = session;
}

void KvTable::Erase(const std::string& key) {
  if (entries_.erase(key) != 0) tombstones_[key] = ++index_;
}

std::vector<std::string> KvTable::LockedBy(const std::string& session) const {
  std::vector<std::string> keys;
  for (const auto& [key, entry] : entries_) {
    if (entry.session == session) keys.push_back(key);
  }
  return keys;
}

}  // namespace cowslip::standin
