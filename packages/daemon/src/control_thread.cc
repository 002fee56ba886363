#include "cowslip/daemon/control_thread.h"

#include <openssl/rand.h>

#include "cowslip/telemetry.h"
#include "relay_transport.h"
#include "store_event_queue.h"
#include "store_options.h"
#include "store_requests.h"
#include "store_watch.h"

namespace cowslip::daemon {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

constexpr std::chrono::milliseconds kPollInterval{50};
/// Interval of warnings while no ticket is in force.
constexpr std::chrono::seconds kWarnInterval{10};
constexpr std::chrono::seconds kFirstWarning{3};

std::uint64_t RandomSeed() {
  std::uint64_t seed = 0;
  RAND_bytes(reinterpret_cast<unsigned char*>(&seed), sizeof seed);
  return seed;
}

relay::NodeOptions ToNodeOptions(const settings::DaemonSettings& settings) {
  relay::NodeOptions options;
  options.self = {settings.instance, settings.data_center, settings.control};
  options.seeds = settings.peers;
  options.seed = RandomSeed();
  if (!settings.sidecar) return options;
  options.leaf = true;
  options.interest = {false, {settings.sidecar->service}};
  return options;
}

}  // namespace

std::unique_ptr<ControlThread> ControlThread::Start(
    const settings::DaemonSettings& settings, ViewPublisher& views,
    LastReason<DaemonError>& reason) {
  auto control = std::unique_ptr<ControlThread>(new ControlThread(views));
  if (!control->Open(settings, reason)) return nullptr;
  control->thread_ =
      std::thread([thread_owner = control.get()] { thread_owner->Run(); });
  return control;
}

ControlThread::ControlThread(ViewPublisher& views)
    : views_(views),
      store_events_(std::make_unique<StoreEventQueue>()),
      warn_at_(std::chrono::steady_clock::now() + kFirstWarning) {}

bool ControlThread::Open(const settings::DaemonSettings& settings,
                         LastReason<DaemonError>& reason) {
  const auto options = ToNodeOptions(settings);
  LastReason<consul::ConsulError> store_reason;
  auto watch_client = consul::StoreClient::Create(
      ToStoreClientOptions(settings.store), store_reason);
  auto request_client = consul::StoreClient::Create(
      ToStoreClientOptions(settings.store), store_reason);
  if (!watch_client || !request_client) {
    reason.Set(DaemonError::kStore, store_reason.Message());
    return false;
  }
  LastReason<link::LinkError> link_reason;
  transport_ = RelayTransport::Create(options, settings.frame_key, link_reason);
  if (transport_ == nullptr) {
    reason.Set(DaemonError::kSocket, link_reason.Message());
    return false;
  }
  store_watch_ = std::make_unique<StoreWatch>(std::move(*watch_client),
                                              *store_events_, RandomSeed());
  store_requests_ = std::make_unique<StoreRequests>(
      std::move(*request_client), *store_events_, options.self, !options.leaf,
      RandomSeed());
  return true;
}

ControlThread::~ControlThread() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

void ControlThread::Run() {
  while (!stopping_) {
    const auto round_start = std::chrono::steady_clock::now();
    transport_->Poll(store_events_->fd(), kPollInterval);
    HandleStoreEvents();
    const auto now = std::chrono::steady_clock::now();
    transport_->node().OnTicketAnnounced(views_.highest_reported_ticket(), now,
                                         transport_->effects());
    transport_->node().OnTick(now, transport_->effects());
    ApplyEffects();
    const bool connected =
        transport_->node().store_distance() < relay::kNoStorePath ||
        transport_->node().stream_count() > 0;
    if (connected) views_.SetUpdatedThrough(round_start);
    UpdateStats();
    WarnWithoutTicket(now);
  }
}

std::string_view ControlThread::NoTicketReason() const {
  if (stats_.store_reachable) return "no ticket is in force";
  if (stats_.streams == 0) {
    return "no ticket is known: neither the store nor a peer is reachable";
  }
  return "no ticket is known: the store is unreachable and no peer has one";
}

void ControlThread::WarnWithoutTicket(TimePoint now) {
  if (stats_.ticket != 0 || now < warn_at_) return;
  warn_at_ = now + kWarnInterval;
  Log(LogLevel::kWarn, "no_ticket", {{"reason", NoTicketReason()}});
}

void ControlThread::HandleStoreEvents() {
  auto& node = transport_->node();
  auto& effects = transport_->effects();
  for (const auto& event : store_events_->Take()) {
    if (const auto* arrived = std::get_if<ListingReceived>(&event)) {
      node.OnListing(arrived->listing, arrived->complete, effects);
      if (arrived->complete) store_lost_ = false;
    } else if (const auto* peers = std::get_if<PeersReceived>(&event)) {
      node.OnPeersRead(peers->peers);
    } else if (const auto* lost = std::get_if<StoreUnreachable>(&event)) {
      node.OnStoreLost(effects);
      if (std::exchange(store_lost_, true)) continue;
      Log(LogLevel::kWarn, "store_unreachable", {{"reason", lost->reason}});
    }
  }
}

void ControlThread::ApplyEffects() {
  auto& effects = transport_->effects();
  if (effects.store.start_watch) store_watch_->SetEnabled(true);
  if (effects.store.stop_watch) store_watch_->SetEnabled(false);
  if (effects.store.read_again) store_watch_->ReadAgain();
  if (effects.store.read_peers) store_requests_->RequestPeers();
  if (effects.store.read_tickets) store_requests_->RequestTickets();
  LogEffects();
  const bool changed = effects.entries_changed || !effects.in_force.empty();
  // Effects that are added while these are applied belong to the next round.
  effects.store = {};
  effects.in_force.clear();
  effects.rejected.clear();
  effects.entries_changed = false;
  effects.store_returned = false;
  effects.replaced.clear();
  // Updates go to peers before this process spends time on its own view.
  transport_->ApplyEffects();
  if (changed) Publish();
}

void ControlThread::LogEffects() {
  const auto& effects = transport_->effects();
  for (const auto number : effects.in_force) {
    Log(LogLevel::kInfo, "ticket_in_force", {{"ticket", Raw(number)}});
  }
  for (const auto& refused : effects.rejected) {
    ++stats_.tickets_refused;
    Log(LogLevel::kError, "ticket_refused",
        {{"ticket", Raw(refused.number)}, {"reason", refused.reason}});
  }
  if (effects.store_returned) {
    Log(LogLevel::kWarn, "store_returned",
        {{"era", transport_->node().items().position().era},
         {"ticket_in_force", Raw(transport_->node().tickets().number())},
         {"ticket_stored", Raw(effects.stored_ticket)}});
  }
  for (const auto& replaced : effects.replaced) {
    Log(LogLevel::kWarn, "tickets_replaced",
        {{"previous", Raw(replaced.previous.number)},
         {"in_force", Raw(replaced.present.number)},
         {"era", replaced.present.era}});
  }
  if (effects.store.start_watch) Log(LogLevel::kInfo, "store_watch_started");
  if (effects.store.stop_watch) Log(LogLevel::kInfo, "store_watch_ended");
}

void ControlThread::Publish() {
  const auto& node = transport_->node();
  state_.UpdateItems(node.items().items(), std::chrono::system_clock::now(),
                     std::chrono::steady_clock::now());
  auto view = state_.BuildView(node.tickets().state());
  stats_.active_upstreams = view->CountActive();
  views_.Publish(std::move(view));
  stats_.ticket = Raw(node.tickets().number());
}

void ControlThread::UpdateStats() {
  const auto& node = transport_->node();
  const auto bytes = transport_->bytes();
  stats_.relay_bytes_in = bytes.in;
  stats_.relay_bytes_out = bytes.out;
  stats_.store_bytes = store_watch_->bytes() + store_requests_->bytes();
  stats_.store_calls = store_watch_->calls() + store_requests_->calls();
  stats_.streams = node.stream_count();
  stats_.depth = node.store_distance();
  stats_.items = node.items().items().size();
  stats_.watching = node.watching();
  stats_.store_reachable = node.store_distance() < relay::kNoStorePath;
}

}  // namespace cowslip::daemon
