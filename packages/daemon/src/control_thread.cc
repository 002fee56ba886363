#include "cowslip/daemon/control_thread.h"

#include <openssl/rand.h>

#include "cowslip/telemetry.h"
#include "mailbox.h"
#include "relay_shell.h"
#include "store_calls.h"
#include "store_options.h"
#include "store_watch.h"

namespace cowslip::daemon {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

constexpr std::chrono::milliseconds kTick{50};
/// Time without a ticket between two warnings.
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
    const settings::DaemonSettings& settings, ViewCell& views,
    LastReason<DaemonError>& reason) {
  auto control = std::unique_ptr<ControlThread>(new ControlThread(views));
  if (!control->Open(settings, reason)) return nullptr;
  control->thread_ = std::thread([raw = control.get()] { raw->Run(); });
  return control;
}

ControlThread::ControlThread(ViewCell& views)
    : views_(views),
      mailbox_(std::make_unique<Mailbox>()),
      warn_at_(std::chrono::steady_clock::now() + kFirstWarning) {}

bool ControlThread::Open(const settings::DaemonSettings& settings,
                         LastReason<DaemonError>& reason) {
  const auto options = ToNodeOptions(settings);
  LastReason<consul::ConsulError> fault;
  auto watcher = consul::StoreClient::Create(ToOptions(settings.store), fault);
  auto caller = consul::StoreClient::Create(ToOptions(settings.store), fault);
  if (!watcher || !caller) {
    reason.Set(DaemonError::kStore, fault.Message());
    return false;
  }
  LastReason<link::LinkError> refused;
  relay_ = RelayShell::Create(options, settings.frame_key, refused);
  if (relay_ == nullptr) {
    reason.Set(DaemonError::kSocket, refused.Message());
    return false;
  }
  watch_ = std::make_unique<StoreWatch>(std::move(*watcher), *mailbox_,
                                        RandomSeed());
  calls_ = std::make_unique<StoreCalls>(
      std::move(*caller), *mailbox_, options.self, !options.leaf, RandomSeed());
  return true;
}

ControlThread::~ControlThread() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

void ControlThread::Run() {
  while (!stopping_) {
    const auto begun = std::chrono::steady_clock::now();
    relay_->Poll(mailbox_->fd(), kTick);
    HandleMail();
    const auto now = std::chrono::steady_clock::now();
    relay_->node().OnTicketAnnounced(views_.noticed_ticket(), now,
                                     relay_->effects());
    relay_->node().OnTick(now, relay_->effects());
    CarryOut();
    const bool informed =
        relay_->node().store_distance() < relay::kNoStorePath ||
        relay_->node().stream_count() > 0;
    if (informed) views_.NoteControlPass(begun);
    UpdateStats();
    WarnWithoutTicket(now);
  }
}

std::string_view ControlThread::NoTicketReason() const {
  if (stats_.store_reachable) return "no ticket is in force";
  if (stats_.links == 0) {
    return "no ticket is known: neither the store nor a peer is reachable";
  }
  return "no ticket is known: the store is unreachable and no peer has one";
}

void ControlThread::WarnWithoutTicket(TimePoint now) {
  if (stats_.ticket != 0 || now < warn_at_) return;
  warn_at_ = now + kWarnInterval;
  Log(LogLevel::kWarn, "no_ticket", {{"reason", NoTicketReason()}});
}

void ControlThread::HandleMail() {
  auto& node = relay_->node();
  auto& effects = relay_->effects();
  for (const auto& event : mailbox_->Take()) {
    if (const auto* arrived = std::get_if<ListingArrived>(&event)) {
      node.OnListing(arrived->listing, arrived->complete, effects);
      if (arrived->complete) store_lost_ = false;
    } else if (const auto* peers = std::get_if<PeersArrived>(&event)) {
      node.OnPeersRead(peers->peers);
    } else if (const auto* lost = std::get_if<StoreLost>(&event)) {
      node.OnStoreLost(effects);
      if (std::exchange(store_lost_, true)) continue;
      Log(LogLevel::kWarn, "store_unreachable", {{"reason", lost->reason}});
    }
  }
}

void ControlThread::CarryOut() {
  auto& effects = relay_->effects();
  if (effects.store.start_watch) watch_->SetWanted(true);
  if (effects.store.stop_watch) watch_->SetWanted(false);
  if (effects.store.read_peers) calls_->ReadPeers();
  if (effects.store.read_tickets) calls_->ReadTickets();
  LogEffects();
  const bool changed = effects.entries_changed || !effects.in_force.empty();
  // What comes in while these are carried out belongs to the next round.
  effects.store = {};
  effects.in_force.clear();
  effects.rejected_tickets.clear();
  effects.entries_changed = false;
  // Others get the news before this process spends time on its own view.
  relay_->CarryOut();
  if (changed) Publish();
}

void ControlThread::LogEffects() {
  const auto& effects = relay_->effects();
  for (const auto number : effects.in_force) {
    Log(LogLevel::kInfo, "ticket_in_force", {{"ticket", Raw(number)}});
  }
  for (const auto& refused : effects.rejected_tickets) {
    ++stats_.tickets_refused;
    Log(LogLevel::kError, "ticket_refused",
        {{"ticket", Raw(refused.number)}, {"reason", refused.reason}});
  }
  if (effects.store.start_watch) Log(LogLevel::kInfo, "store_watch_started");
  if (effects.store.stop_watch) Log(LogLevel::kInfo, "store_watch_ended");
}

void ControlThread::Publish() {
  const auto& node = relay_->node();
  state_.TakeItems(node.items().items(), std::chrono::system_clock::now(),
                   std::chrono::steady_clock::now());
  views_.Publish(state_.BuildView(node.tickets().state()));
  stats_.ticket = Raw(node.tickets().number());
}

void ControlThread::UpdateStats() {
  const auto& node = relay_->node();
  const auto bytes = relay_->bytes();
  stats_.relay_bytes_in = bytes.in;
  stats_.relay_bytes_out = bytes.out;
  stats_.store_bytes = watch_->bytes() + calls_->bytes();
  stats_.store_calls = watch_->calls() + calls_->calls();
  stats_.links = node.stream_count();
  stats_.depth = node.store_distance();
  stats_.items = node.items().items().size();
  stats_.watching = node.watching();
  stats_.store_reachable = node.store_distance() < relay::kNoStorePath;
}

}  // namespace cowslip::daemon
