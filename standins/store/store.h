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
  /// Id of the session that acquires the lock.
  std::optional<std::string> acquire;
  /// Id of the session that releases the lock.
  std::optional<std::string> release;
};

/// Result of a write.
enum class WriteOutcome { kApplied, kNotApplied, kUnknownSession };

/// The in-memory store: keys, sessions and blocking queries. Thread-safe.
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
  void EndAllSessions();

  /// Keeps a copy of the contents.
  void SaveCopy();
  /// Replaces the contents by the copy, which loses all later changes. Indexes
  /// continue from the copy.
  void RestoreCopy();

  /// Answers all waiting reads at once.
  void WakeAllWatches();
  /// Answers all waiting reads at once; later watches do not wait.
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
  KvTable copied_table_;
  SessionTable copied_sessions_;
  BlockingQueries queries_;
  /// Time before which no session may lock the key.
  std::map<std::string, TimePoint> lock_delays_;
  std::condition_variable sessions_changed_;
  bool stopping_ = false;
  std::thread expiry_thread_;
};

}  // namespace cowslip::standin
