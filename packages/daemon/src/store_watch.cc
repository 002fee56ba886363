#include "store_watch.h"

#include <utility>

#include "store_listing.h"

namespace cowslip::daemon {
namespace {

using std::chrono::milliseconds;

/// Longest time that the store holds a blocking query.
constexpr std::chrono::seconds kWatchWait{55};
constexpr milliseconds kMinRetry{200};
constexpr milliseconds kMaxRetry{1000};

}  // namespace

StoreWatch::StoreWatch(consul::StoreClient client, StoreEventQueue& events,
                       std::uint64_t seed)
    : client_(std::move(client)),
      events_(events),
      backoff_(kMinRetry, kMaxRetry, seed),
      thread_([this] { Run(); }) {}

StoreWatch::~StoreWatch() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    client_.Cancel();
  }
  changed_.notify_all();
  thread_.join();
}

void StoreWatch::SetEnabled(bool enabled) {
  {
    const std::lock_guard lock(mutex_);
    enabled_ = enabled;
    if (!enabled) client_.Cancel();
  }
  changed_.notify_all();
}

void StoreWatch::ReadAgain() {
  const std::lock_guard lock(mutex_);
  read_again_ = true;
  client_.Cancel();
}

void StoreWatch::Run() {
  std::uint64_t index = 0;
  while (true) {
    {
      std::unique_lock lock(mutex_);
      if (!enabled_ || std::exchange(read_again_, false)) index = 0;
      changed_.wait(lock, [this] { return enabled_ || stopping_; });
      if (stopping_) return;
      client_.Resume();
    }
    ReadOnce(index);
  }
}

void StoreWatch::ReadOnce(std::uint64_t& index) {
  LastReason<consul::ConsulError> reason;
  const auto result =
      index == 0 ? client_.List(kStoreRoot, reason)
                 : client_.WatchList(kStoreRoot, index, kWatchWait, reason);
  calls_ = client_.stats().calls;
  bytes_ = client_.stats().bytes_in + client_.stats().bytes_out;
  if (!result) {
    if (reason.code() == consul::ConsulError::kCancelled) return;
    reachable_ = false;
    // The next request is a plain listing, which the store answers at once when
    // it is reachable again.
    index = 0;
    events_.Post(StoreUnreachable{reason.Message()});
    WaitToRetry();
    return;
  }
  reachable_ = true;
  backoff_.Reset();
  // A decreased index means that the store was restored from a backup: start
  // over with a plain listing.
  index = result->index < index ? 0 : std::max<std::uint64_t>(result->index, 1);
  events_.Post(ListingReceived{ToListing(*result), true});
}

void StoreWatch::WaitToRetry() {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, backoff_.Next(),
                    [this] { return stopping_ || !enabled_; });
}

}  // namespace cowslip::daemon
