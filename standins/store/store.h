#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "cowslip/base/clock.h"
#include "standins/store/blocking_queries.h"
#include "standins/store/kv_table.h"
#include "standins/store/session_table.h"

namespace cowslip::standin {

/// A conditional write of one key.
struct StoreWrite {
  std::string key;
  std::string value;
  std::uint64_t flags = 0;
  /// Applies only to this modify index; 0 means that the key must not exist.
  std::optional<std::uint64_t> cas;
  /// Id of a session that is to hold the lock.
  std::optional<std::string> acquire;
  /// Id of the session that gives up the lock.
  std::optional<std::string> release;
};

/// How a write ended.
enum class WriteOutcome { kApplied, kNotApplied, kUnknownSession };

/// Keys, sessions and the reads that wait for them. Thread-safe.
class Store {
 public:
  Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  ~Store();

  KvSnapshot Read(const KeyRange& range);
  /// Waits for a change above `index`, at most until the deadline, and reads.
  KvSnapshot Watch(const KeyRange& range, std::uint64_t index,
                   TimePoint deadline);

  WriteOutcome Write(const StoreWrite& write);
  /// @param cas deletes only at this modify index.
  /// @return whether the deletion was applied.
  bool Delete(const KeyRange& range, std::optional<std::uint64_t> cas);

  std::string CreateSession(const SessionOptions& options);
  /// @return the options of the session, std::nullopt if it does not exist.
  std::optional<SessionOptions> RenewSession(const std::string& id);
  void DestroySession(const std::string& id);
  /// Ends all sessions.
  void LapseSessions();

  /// Answers all waiting reads at once.
  void WakeWatches();
  /// Answers all waiting reads at once and lets none wait any more.
  void Close();
  std::size_t waiting_watches();

 private:
  WriteOutcome Acquire(const StoreWrite& write);
  WriteOutcome Release(const StoreWrite& write);
  bool IsCasMet(const std::string& key, std::uint64_t cas) const;
  void EndSession(const std::string& id);
  void ExpireSessions();

  std::mutex mutex_;
  KvTable table_;
  SessionTable sessions_;
  BlockingQueries queries_;
  /// Keys that no session may lock before an instant.
  std::map<std::string, TimePoint> lock_delays_;
  std::condition_variable sessions_changed_;
  bool stopping_ = false;
  std::thread expiry_thread_;
};

}  // namespace cowslip::standin
