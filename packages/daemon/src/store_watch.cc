#include "store_watch.h"

#include "store_listing.h"

namespace cowslip::daemon {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds kWatchWait{55};
constexpr milliseconds kMinRetry{200};
constexpr milliseconds kMaxRetry{1000};

}  // namespace

StoreWatch::StoreWatch(consul::StoreClient client, Mailbox& mailbox,
                       std::uint64_t seed)
    : client_(std::move(client)),
      mailbox_(mailbox),
      retry_(kMinRetry, kMaxRetry, seed),
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

void StoreWatch::SetWanted(bool wanted) {
  {
    const std::lock_guard lock(mutex_);
    wanted_ = wanted;
    if (!wanted) client_.Cancel();
  }
  changed_.notify_all();
}

void StoreWatch::Run() {
  std::uint64_t index = 0;
  while (true) {
    {
      std::unique_lock lock(mutex_);
      if (!wanted_) index = 0;
      changed_.wait(lock, [this] { return wanted_ || stopping_; });
      if (stopping_) return;
      client_.Resume();
    }
    WatchOnce(index);
  }
}

void StoreWatch::WatchOnce(std::uint64_t& index) {
  LastReason<consul::ConsulError> reason;
  const auto result =
      index == 0 ? client_.List(kStoreRoot, reason)
                 : client_.WatchList(kStoreRoot, index, kWatchWait, reason);
  calls_ = client_.stats().calls;
  bytes_ = client_.stats().bytes_in + client_.stats().bytes_out;
  if (!result) {
    if (reason.code() == consul::ConsulError::kCancelled) return;
    reachable_ = false;
    // A listing, which comes at once, tells that the store is back.
    index = 0;
    mailbox_.Post(StoreLost{reason.Message()});
    WaitToRetry();
    return;
  }
  reachable_ = true;
  retry_.Reset();
  // An index that went back means that the store was restored: start over.
  index = result->index < index ? 0 : std::max<std::uint64_t>(result->index, 1);
  mailbox_.Post(ListingArrived{ToListing(*result), true});
}

void StoreWatch::WaitToRetry() {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, retry_.Next(),
                    [this] { return stopping_ || !wanted_; });
}

}  // namespace cowslip::daemon
