#include "store_calls.h"

#include "cowslip/telemetry.h"
#include "store_listing.h"

namespace cowslip::daemon {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinRetry{300};
constexpr milliseconds kMaxRetry{30'000};

std::vector<relay::Peer> ToPeers(const std::vector<consul::KeyValue>& records) {
  std::vector<relay::Peer> peers;
  for (const auto& record : records) {
    LastReason<relay::RelayError> reason;
    const auto peer = relay::DecodePeer(record.value, reason);
    if (peer) peers.push_back(*peer);
  }
  return peers;
}

}  // namespace

StoreCalls::StoreCalls(consul::StoreClient client, Mailbox& mailbox,
                       const relay::Peer& self, bool record, std::uint64_t seed)
    : client_(std::move(client)),
      mailbox_(mailbox),
      self_(self),
      record_(record),
      retry_(kMinRetry, kMaxRetry, seed),
      thread_([this] { Run(); }) {}

StoreCalls::~StoreCalls() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    client_.Cancel();
  }
  changed_.notify_all();
  thread_.join();
}

void StoreCalls::ReadPeers() {
  const std::lock_guard lock(mutex_);
  peers_wanted_ = true;
  changed_.notify_all();
}

void StoreCalls::ReadTickets() {
  const std::lock_guard lock(mutex_);
  tickets_wanted_ = true;
  changed_.notify_all();
}

void StoreCalls::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    changed_.wait(
        lock, [this] { return stopping_ || peers_wanted_ || tickets_wanted_; });
    if (stopping_) return;
    const bool peers = peers_wanted_;
    const bool tickets = std::exchange(tickets_wanted_, false);
    lock.unlock();
    const bool done = !peers || CallPeers();
    if (tickets) CallTickets();
    Count();
    lock.lock();
    if (done) {
      peers_wanted_ = false;
    } else {
      changed_.wait_for(lock, retry_.Next(), [this] { return stopping_; });
    }
  }
}

void StoreCalls::Count() {
  calls_ = client_.stats().calls;
  bytes_ = client_.stats().bytes_in + client_.stats().bytes_out;
}

bool StoreCalls::CallPeers() {
  LastReason<consul::ConsulError> reason;
  const auto result =
      client_.List(relay::InstancePrefix(self_.data_center), reason);
  if (!result) {
    telemetry::Log(telemetry::LogLevel::kWarn, "instances_not_read",
                   {{"reason", reason.Message()}});
    return false;
  }
  mailbox_.Post(PeersArrived{ToPeers(result->values)});
  return !record_ || WriteRecord(result->values);
}

bool StoreCalls::WriteRecord(const std::vector<consul::KeyValue>& records) {
  const auto key = relay::InstanceKey(self_);
  const auto value = relay::EncodePeer(self_);
  for (const auto& record : records) {
    if (record.key == key && record.value == value) return true;
  }
  LastReason<consul::ConsulError> reason;
  if (client_.Put(key, value, reason)) return true;
  telemetry::Log(telemetry::LogLevel::kWarn, "instance_not_recorded",
                 {{"reason", reason.Message()}});
  return false;
}

void StoreCalls::CallTickets() {
  LastReason<consul::ConsulError> reason;
  // The snapshot is read after the tickets that it may have replaced.
  const auto tickets = client_.List(ticket::TicketPrefix(), reason);
  const auto snapshot =
      tickets ? client_.Get(ticket::SnapshotKey(), reason) : std::nullopt;
  if (!snapshot) {
    telemetry::Log(telemetry::LogLevel::kWarn, "tickets_not_read",
                   {{"reason", reason.Message()}});
    return;
  }
  auto all = *tickets;
  if (snapshot->value) all.values.push_back(*snapshot->value);
  mailbox_.Post(ListingArrived{ToListing(all), false});
}

}  // namespace cowslip::daemon
