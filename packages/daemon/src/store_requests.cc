#include "store_requests.h"

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

StoreRequests::StoreRequests(consul::StoreClient client,
                             StoreEventQueue& events, const relay::Peer& self,
                             bool record, std::uint64_t seed)
    : client_(std::move(client)),
      events_(events),
      self_(self),
      write_record_(record),
      backoff_(kMinRetry, kMaxRetry, seed),
      thread_([this] { Run(); }) {}

StoreRequests::~StoreRequests() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    client_.Cancel();
  }
  changed_.notify_all();
  thread_.join();
}

void StoreRequests::RequestPeers() {
  const std::lock_guard lock(mutex_);
  peers_requested_ = true;
  changed_.notify_all();
}

void StoreRequests::RequestTickets() {
  const std::lock_guard lock(mutex_);
  tickets_requested_ = true;
  changed_.notify_all();
}

void StoreRequests::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] {
      return stopping_ || peers_requested_ || tickets_requested_;
    });
    if (stopping_) return;
    const bool peers = peers_requested_;
    const bool tickets = std::exchange(tickets_requested_, false);
    lock.unlock();
    const bool done = !peers || ReadPeers();
    if (tickets) ReadTickets();
    UpdateStats();
    lock.lock();
    if (done) {
      peers_requested_ = false;
    } else {
      changed_.wait_for(lock, backoff_.Next(), [this] { return stopping_; });
    }
  }
}

void StoreRequests::UpdateStats() {
  calls_ = client_.stats().calls;
  bytes_ = client_.stats().bytes_in + client_.stats().bytes_out;
}

bool StoreRequests::ReadPeers() {
  LastReason<consul::ConsulError> reason;
  const auto result =
      client_.List(relay::InstancePrefix(self_.data_center), reason);
  if (!result) {
    telemetry::Log(telemetry::LogLevel::kWarn, "instances_not_read",
                   {{"reason", reason.Message()}});
    return false;
  }
  events_.Post(PeersReceived{ToPeers(result->values)});
  return !write_record_ || EnsureRecord(result->values);
}

bool StoreRequests::EnsureRecord(const std::vector<consul::KeyValue>& records) {
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

void StoreRequests::ReadTickets() {
  LastReason<consul::ConsulError> reason;
  // The snapshot is read after the tickets, because a compaction writes it
  // before it deletes the tickets that it replaces.
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
  events_.Post(ListingReceived{ToListing(all), false});
}

}  // namespace cowslip::daemon
