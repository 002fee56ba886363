#include "standins/store/session_table.h"

#include <array>
#include <cstdio>
#include <random>

namespace cowslip::standin {
namespace {

std::string NewUuid() {
  static std::random_device random;
  std::array<char, 37> text;
  const auto first = random();
  const auto second = random();
  const auto third = random();
  const auto fourth = random();
  std::snprintf(text.data(), text.size(), "%08x-%04x-%04x-%04x-%04x%08x", first,
                second >> 16U, second & 0xffffU, third >> 16U, third & 0xffffU,
                fourth);
  return text.data();
}

std::optional<TimePoint> ExpiryFrom(const SessionOptions& options,
                                    TimePoint now) {
  if (!options.ttl) return std::nullopt;
  return now + *options.ttl;
}

}  // namespace

std::string SessionTable::Add(const SessionOptions& options, TimePoint now) {
  auto id = NewUuid();
  sessions_[id] = {options, ExpiryFrom(options, now)};
  return id;
}

const SessionOptions* SessionTable::Find(const std::string& id) const {
  const auto found = sessions_.find(id);
  return found == sessions_.end() ? nullptr : &found->second.options;
}

bool SessionTable::Renew(const std::string& id, TimePoint now) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) return false;
  found->second.expiry = ExpiryFrom(found->second.options, now);
  return true;
}

std::vector<std::string> SessionTable::Ids() const {
  std::vector<std::string> ids;
  for (const auto& [id, state] : sessions_) ids.push_back(id);
  return ids;
}

std::vector<std::string> SessionTable::ExpiredAt(TimePoint now) const {
  std::vector<std::string> ids;
  for (const auto& [id, state] : sessions_) {
    if (state.expiry && *state.expiry <= now) ids.push_back(id);
  }
  return ids;
}

std::optional<TimePoint> SessionTable::NextExpiry() const {
  std::optional<TimePoint> next;
  for (const auto& [id, state] : sessions_) {
    if (state.expiry && (!next || *state.expiry < *next)) next = state.expiry;
  }
  return next;
}

}  // namespace cowslip::standin
