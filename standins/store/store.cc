#include "standins/store/store.h"

namespace cowslip::standin {

using Clock = std::chrono::steady_clock;

Store::Store() : expiry_thread_([this] { ExpireSessions(); }) {}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    sessions_changed_.notify_one();
  }
  expiry_thread_.join();
}

KvSnapshot Store::Read(const KeyRange& range) {
  const std::lock_guard lock(mutex_);
  return table_.Read(range);
}

KvSnapshot Store::Watch(const KeyRange& range, std::uint64_t index,
                        TimePoint deadline) {
  std::unique_lock lock(mutex_);
  queries_.Wait(lock, range, deadline,
                [&] { return table_.IndexOf(range) > index; });
  return table_.Read(range);
}

bool Store::IsCasMet(const std::string& key, std::uint64_t cas) const {
  const KvEntry* entry = table_.Find(key);
  return entry == nullptr ? cas == 0 : entry->modify_index == cas;
}

WriteOutcome Store::Write(const StoreWrite& write) {
  const std::lock_guard lock(mutex_);
  if (write.cas && !IsCasMet(write.key, *write.cas)) {
    return WriteOutcome::kNotApplied;
  }
  if (write.acquire) return Acquire(write);
  if (write.release) return Release(write);
  table_.Write(write.key, write.value, write.flags);
  queries_.Notify(write.key);
  return WriteOutcome::kApplied;
}

WriteOutcome Store::Acquire(const StoreWrite& write) {
  if (sessions_.Find(*write.acquire) == nullptr) {
    return WriteOutcome::kUnknownSession;
  }
  const KvEntry* entry = table_.Find(write.key);
  const std::string holder = entry == nullptr ? std::string{} : entry->session;
  if (!holder.empty() && holder != *write.acquire) {
    return WriteOutcome::kNotApplied;
  }
  const auto delay = lock_delays_.find(write.key);
  if (delay != lock_delays_.end() && Clock::now() < delay->second) {
    return WriteOutcome::kNotApplied;
  }
  lock_delays_.erase(write.key);
  auto& written = table_.Write(write.key, write.value, write.flags);
  if (holder.empty()) ++written.lock_index;
  written.session = *write.acquire;
  queries_.Notify(write.key);
  return WriteOutcome::kApplied;
}

WriteOutcome Store::Release(const StoreWrite& write) {
  const KvEntry* entry = table_.Find(write.key);
  const bool is_holder = entry != nullptr && entry->session == *write.release;
  if (!is_holder || write.release->empty()) return WriteOutcome::kNotApplied;
  table_.Write(write.key, write.value, write.flags).session.clear();
  queries_.Notify(write.key);
  return WriteOutcome::kApplied;
}

bool Store::Delete(const KeyRange& range, std::optional<std::uint64_t> cas) {
  const std::lock_guard lock(mutex_);
  if (cas && (*cas == 0 || !IsCasMet(range.key, *cas))) return false;
  for (const auto& named : table_.Read(range).entries) {
    table_.Erase(named.key);
    queries_.Notify(named.key);
  }
  return true;
}

std::string Store::CreateSession(const SessionOptions& options) {
  const std::lock_guard lock(mutex_);
  sessions_changed_.notify_one();
  return sessions_.Add(options, Clock::now());
}

std::optional<SessionOptions> Store::RenewSession(const std::string& id) {
  const std::lock_guard lock(mutex_);
  if (!sessions_.Renew(id, Clock::now())) return std::nullopt;
  return *sessions_.Find(id);
}

void Store::DestroySession(const std::string& id) {
  const std::lock_guard lock(mutex_);
  EndSession(id);
}

void Store::EndAllSessions() {
  const std::lock_guard lock(mutex_);
  for (const auto& id : sessions_.Ids()) EndSession(id);
}

void Store::EndSession(const std::string& id) {
  const SessionOptions* options = sessions_.Find(id);
  if (options == nullptr) return;
  const auto unlock_at = Clock::now() + options->lock_delay;
  for (const auto& key : table_.LockedBy(id)) {
    if (options->delete_keys) {
      table_.Erase(key);
    } else {
      table_.SetSession(key, {});
    }
    lock_delays_[key] = unlock_at;
    queries_.Notify(key);
  }
  sessions_.Erase(id);
}

void Store::ExpireSessions() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    for (const auto& id : sessions_.ExpiredAt(Clock::now())) EndSession(id);
    const auto next = sessions_.NextExpiry();
    if (next) {
      sessions_changed_.wait_until(lock, *next);
    } else {
      sessions_changed_.wait(lock);
    }
  }
}

void Store::SaveCopy() {
  const std::lock_guard lock(mutex_);
  copied_table_ = table_;
  copied_sessions_ = sessions_;
}

void Store::RestoreCopy() {
  const std::lock_guard lock(mutex_);
  table_ = copied_table_;
  sessions_ = copied_sessions_;
  lock_delays_.clear();
  queries_.WakeAll();
  sessions_changed_.notify_one();
}

void Store::WakeAllWatches() {
  const std::lock_guard lock(mutex_);
  queries_.WakeAll();
}

void Store::Close() {
  const std::lock_guard lock(mutex_);
  queries_.Close();
}

std::size_t Store::waiting_watches() {
  const std::lock_guard lock(mutex_);
  return queries_.waiting();
}

}  // namespace cowslip::standin
