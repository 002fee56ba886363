#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cowslip/base/clock.h"

namespace cowslip::standin {

/// Parameters of a session, set when it is created.
struct SessionOptions {
  /// std::nullopt for a session that never expires.
  std::optional<std::chrono::milliseconds> ttl;
  /// Time for which no session may lock the keys after this one ends.
  std::chrono::milliseconds lock_delay{};
  /// Deletes the locked keys when the session ends, instead of releasing them.
  bool delete_keys = false;
};

/// The sessions of the store. Not thread-safe.
class SessionTable {
 public:
  /// @return the id of the new session.
  std::string Add(const SessionOptions& options, TimePoint now);
  /// @return nullptr if the session does not exist.
  const SessionOptions* Find(const std::string& id) const;
  /// @return false if the session does not exist.
  bool Renew(const std::string& id, TimePoint now);
  void Erase(const std::string& id) { sessions_.erase(id); }

  std::vector<std::string> Ids() const;
  std::vector<std::string> ExpiredAt(TimePoint now) const;
  /// @return when the next session expires unless it is renewed.
  std::optional<TimePoint> NextExpiry() const;

 private:
  struct State {
    SessionOptions options;
    std::optional<TimePoint> expiry;
  };

  std::map<std::string, State> sessions_;
};

}  // namespace cowslip::standin
