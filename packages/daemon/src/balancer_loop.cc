#include "cowslip/daemon/balancer_loop.h"

#include <set>

#include "cowslip/telemetry.h"
#include "frame_socket.h"

namespace cowslip::daemon {
namespace {

/// Poller tag of the frame socket; sockets for callers have tags from 1.
constexpr std::uint64_t kFramesTag = 0;
constexpr std::chrono::milliseconds kPollInterval{10};
/// Datagrams that waited longer than this in the socket were queued while the
/// process was stopped. They are dropped, because their callers have moved to
/// other balancers.
constexpr std::chrono::milliseconds kMaxQueueTime{500};
/// Lower 16 bits of an IPv4 address, kept from the service address.
constexpr std::uint32_t kHostMask = 0x0000ffff;

}  // namespace

std::unique_ptr<BalancerLoop> BalancerLoop::Create(
    const settings::DaemonSettings& settings, std::uint32_t thread,
    ViewPublisher& views, LastReason<DaemonError>& reason) {
  const auto& balancer_settings = *settings.balancer;
  engine::BalancerOptions options;
  options.id = balancer_settings.id;
  options.frames = balancer_settings.frames;
  options.frames.port =
      static_cast<std::uint16_t>(balancer_settings.frames.port + thread);
  options.hint_capacity = balancer_settings.hint_capacity;
  LastReason<engine::EngineError> engine_reason;
  auto balancer = engine::Balancer::Create(options, engine_reason);
  if (!balancer) {
    reason.Set(DaemonError::kEngine, engine_reason.Message());
    return nullptr;
  }
  auto frames = FrameSocket::Open(settings.frame_key, options.frames, reason);
  if (!frames) return nullptr;
  return std::unique_ptr<BalancerLoop>(
      new BalancerLoop(settings, views, std::move(*balancer),
                       std::move(frames->codec), std::move(frames->socket)));
}

BalancerLoop::BalancerLoop(const settings::DaemonSettings& settings,
                           ViewPublisher& views, engine::Balancer balancer,
                           link::FrameCodec codec, link::DatagramSocket frames)
    : settings_(settings),
      views_(views),
      balancer_(std::move(balancer)),
      codec_(std::move(codec)),
      frames_(std::move(frames)) {
  poller_.Add(frames_.fd(), kFramesTag);
}

Endpoint BalancerLoop::EntryAddress(const Endpoint& service) const {
  const auto prefix = settings_.balancer->entry_prefix;
  if (!prefix) return service;
  return {(*prefix & ~kHostMask) | (service.address & kHostMask), service.port};
}

void BalancerLoop::SyncEntries(const membership::View& view) {
  std::erase_if(entries_, [&](const auto& item) {
    if (view.FindAddress(item.first) != nullptr) return false;
    poller_.Remove(item.second.socket.fd());
    std::erase_if(entries_by_tag_, [&](const auto& tagged) {
      return tagged.second == &item.second;
    });
    return true;
  });
  for (const auto& [id, service] : view.services()) {
    const auto& address = service->service.address;
    if (entries_.contains(address)) continue;
    LastReason<link::LinkError> reason;
    auto socket = link::DatagramSocket::Bind(EntryAddress(address), reason);
    if (!socket) {
      telemetry::Log(
          telemetry::LogLevel::kError, "entry_not_bound",
          {{"service", service->service.name}, {"reason", reason.Message()}});
      continue;
    }
    const auto [position, inserted] =
        entries_.emplace(address, Entry{address, std::move(*socket)});
    entries_by_tag_[next_tag_] = &position->second;
    poller_.Add(position->second.socket.fd(), next_tag_++);
  }
}

void BalancerLoop::ApplyView() {
  if (views_.epoch() == epoch_) return;
  auto view = views_.Get();
  epoch_ = view->epoch();
  SyncEntries(*view);
  balancer_.OnView(std::move(view));
}

void BalancerLoop::Run() {
  while (!stopping_) {
    pause_guard_.BeginRound(std::chrono::steady_clock::now());
    ApplyView();
    if (drain_requested_.exchange(false)) {
      balancer_.StartDrain(effects_);
      ApplyEffects();
    }
    const auto ready = poller_.Wait(kPollInterval);
    const auto now = std::chrono::steady_clock::now();
    pause_guard_.OnWake(now);
    for (const auto tag : ready) {
      if (tag == kFramesTag) {
        ReadFrames(now);
      } else {
        ReadCallerDatagrams(*entries_by_tag_.at(tag), now);
      }
    }
    balancer_.OnTick(now, effects_);
    ApplyEffects();
  }
}

void BalancerLoop::ReadFrames(TimePoint now) {
  bool refused = false;
  const auto count = receive_.Receive(frames_, refused);
  for (std::size_t i = 0; i < count; ++i) {
    const auto datagram = receive_.At(i);
    LastReason<link::LinkError> reason;
    const auto frame = codec_.Decode(datagram.payload, reason);
    if (!pause_guard_.accepts_datagrams() || !frame ||
        datagram.queue_delay > kMaxQueueTime) {
      ++dropped_;
      continue;
    }
    balancer_.OnFrame(*frame, datagram.from, now, effects_);
  }
  ApplyEffects();
}

void BalancerLoop::ReadCallerDatagrams(const Entry& entry, TimePoint now) {
  bool refused = false;
  const auto count = receive_.Receive(entry.socket, refused);
  for (std::size_t i = 0; i < count; ++i) {
    const auto datagram = receive_.At(i);
    if (!pause_guard_.accepts_datagrams() || datagram.truncated ||
        datagram.queue_delay > kMaxQueueTime ||
        datagram.payload.size() > link::kMaxPayloadBytes) {
      ++dropped_;
      continue;
    }
    balancer_.OnCallerDatagram(
        {{datagram.from, entry.service}, datagram.payload}, now, effects_);
  }
  ApplyEffects();
}

void BalancerLoop::ApplyEffects() {
  for (const auto& frame : effects_.frames) {
    send_.AddFrame(frames_, frame.to, frame.header, frame.payload, codec_);
  }
  send_.Flush();
  for (const auto& datagram : effects_.datagrams) {
    const auto entry = entries_.find(datagram.flow.service);
    if (entry == entries_.end()) continue;
    send_.Add(entry->second.socket, datagram.flow.caller, datagram.payload);
  }
  send_.Flush();
  for (const auto& fetch : effects_.fetches) {
    views_.ReportTicket(fetch.number);
  }
  effects_.Clear();
}

}  // namespace cowslip::daemon
