#include "cowslip/daemon/sidecar_loop.h"

#include <openssl/rand.h>
#include <sys/socket.h>

#include "cowslip/telemetry.h"
#include "frame_link.h"
#include "stop_signal.h"

namespace cowslip::daemon {
namespace {

constexpr std::uint64_t kFramesTag = 0;
constexpr std::uint64_t kProbeTag = ~0ULL;
constexpr std::chrono::milliseconds kPollInterval{10};
/// Datagrams older than this were queued while the process was stopped.
constexpr std::chrono::milliseconds kMaxQueueTime{500};

std::uint64_t ToTag(flow::FlowSlot slot) { return Raw(slot) + 1ULL; }
permit::PermitKey DrawPermitKey() {
  permit::PermitKey key{};
  RAND_bytes(key.data(), static_cast<int>(key.size()));
  return key;
}

flow::FlowSlot FromTag(std::uint64_t tag) {
  return flow::FlowSlot(static_cast<std::uint32_t>(tag - 1));
}

}  // namespace

std::unique_ptr<SidecarLoop> SidecarLoop::Create(
    const settings::DaemonSettings& settings, const Claimed& claimed,
    ViewCell& views, MembershipThread& members,
    LastReason<DaemonError>& reason) {
  const auto& own = *settings.sidecar;
  engine::SidecarOptions options;
  options.id = own.id;
  options.service = own.service;
  options.incarnation = claimed.incarnation;
  options.claim_started = claimed.begun;
  options.started = std::chrono::steady_clock::now();
  options.slots = own.slots;
  options.slow_start = own.slow_start;
  options.permit_key = DrawPermitKey();
  RAND_bytes(reinterpret_cast<unsigned char*>(&options.seed),
             sizeof options.seed);
  LastReason<engine::EngineError> engine_reason;
  auto sidecar = engine::Sidecar::Create(options, engine_reason);
  if (!sidecar) {
    reason.Set(DaemonError::kEngine, engine_reason.Message());
    return nullptr;
  }
  auto frames = FrameLink::Open(settings.frame_key, own.frames, reason);
  if (!frames) return nullptr;
  return std::unique_ptr<SidecarLoop>(
      new SidecarLoop(settings, views, members, std::move(*sidecar),
                      std::move(frames->codec), std::move(frames->socket)));
}

SidecarLoop::SidecarLoop(const settings::DaemonSettings& settings,
                         ViewCell& views, MembershipThread& members,
                         engine::Sidecar sidecar, link::FrameCodec codec,
                         link::DatagramSocket frames)
    : settings_(settings),
      views_(views),
      members_(members),
      sidecar_(std::move(sidecar)),
      codec_(std::move(codec)),
      frames_(std::move(frames)) {
  poller_.Add(frames_.fd(), kFramesTag);
}

void SidecarLoop::AdoptView(TimePoint now) {
  if (views_.epoch() == epoch_) return;
  auto view = views_.Get();
  epoch_ = view->epoch();
  sidecar_.OnView(std::move(view), now, effects_);
  CarryOut();
}

void SidecarLoop::Run() {
  while (!stopping_) {
    gate_.BeginRound(std::chrono::steady_clock::now());
    AdoptView(std::chrono::steady_clock::now());
    if (drain_requested_.exchange(false)) {
      sidecar_.StartDrain(effects_);
      CarryOut();
    }
    const auto ready = poller_.Wait(kPollInterval);
    const auto now = std::chrono::steady_clock::now();
    gate_.OnWake(now);
    for (const auto tag : ready) {
      if (tag == kFramesTag) {
        ReadFrames(now);
      } else if (tag == kProbeTag) {
        ReadProbeSocket(now);
      } else {
        ReadUpstream(FromTag(tag), now);
      }
    }
    sidecar_.OnTick(now, effects_);
    CarryOut();
    TakeAnswers(now);
    remaining_ = sidecar_.flow_count() + sidecar_.runs_in_progress();
    runs_ = sidecar_.runs_in_progress();
    lease_ = sidecar_.lease();
    upstream_down_ = sidecar_.upstream_down();
  }
}

void SidecarLoop::ReadFrames(TimePoint now) {
  bool refused = false;
  const auto count = receive_.Receive(frames_, refused);
  for (std::size_t i = 0; i < count; ++i) {
    const auto datagram = receive_.At(i);
    LastReason<link::LinkError> reason;
    const auto frame = codec_.Decode(datagram.payload, reason);
    if (!gate_.open() || !frame || datagram.queue_delay > kMaxQueueTime) {
      ++dropped_;
      continue;
    }
    sidecar_.OnFrame(*frame, datagram.from, now, effects_);
  }
  CarryOut();
}

void SidecarLoop::ReadUpstream(flow::FlowSlot slot, TimePoint now) {
  auto& socket = upstreams_[Raw(slot)];
  if (!socket) return;
  bool refused = false;
  const auto count = receive_.Receive(*socket, refused);
  if (refused) sidecar_.OnUpstreamRefused(slot, now, effects_);
  for (std::size_t i = 0; i < count; ++i) {
    const auto datagram = receive_.At(i);
    if (datagram.truncated ||
        datagram.payload.size() > link::kMaxPayloadBytes) {
      ++dropped_;
      continue;
    }
    sidecar_.OnUpstreamDatagram(slot, datagram.payload, now, effects_);
  }
  CarryOut();
}

link::DatagramSocket* SidecarLoop::UpstreamSocket(flow::FlowSlot slot) {
  const auto index = Raw(slot);
  if (index >= upstreams_.size()) upstreams_.resize(index + 1);
  auto& socket = upstreams_[index];
  if (socket) return &*socket;
  LastReason<link::LinkError> reason;
  socket = link::DatagramSocket::Connect(settings_.sidecar->upstream, reason);
  if (!socket) {
    telemetry::Log(telemetry::LogLevel::kError, "upstream_socket_failed",
                   {{"reason", reason.Message()}});
    return nullptr;
  }
  poller_.Add(socket->fd(), ToTag(slot));
  return &*socket;
}

void SidecarLoop::CloseUpstream(flow::FlowSlot slot) {
  const auto index = Raw(slot);
  if (index >= upstreams_.size() || !upstreams_[index]) return;
  poller_.Remove(upstreams_[index]->fd());
  upstreams_[index].reset();
}

void SidecarLoop::CarryOut() {
  for (const auto& close : effects_.closes) CloseUpstream(close.slot);
  for (const auto& datagram : effects_.datagrams) {
    const auto* socket = UpstreamSocket(datagram.slot);
    if (socket == nullptr) continue;
    if (send(socket->fd(), datagram.payload.data(), datagram.payload.size(),
             MSG_DONTWAIT) < 0) {
      ++dropped_;
    }
  }
  for (const auto& frame : effects_.frames) {
    send_.AddFrame(frames_, frame.to, frame.header, frame.payload, codec_);
  }
  send_.Flush();
  for (const auto& fetch : effects_.fetches) {
    views_.NoteTicket(fetch.number);
  }
  PostRequests();
  effects_.Clear();
}

void SidecarLoop::PostRequests() {
  if (effects_.lease_check) {
    telemetry::Log(telemetry::LogLevel::kWarn, "lease_in_doubt",
                   {{"incarnation", Raw(sidecar_.incarnation())}});
    members_.Post(ConfirmLease{*effects_.lease_check});
  }
  for (const auto& death : effects_.deaths) {
    members_.Post(RecordPeerDeath{death, std::chrono::steady_clock::now()});
  }
  if (effects_.announcement) {
    const bool down = *effects_.announcement == UpstreamState::kDown;
    telemetry::Log(telemetry::LogLevel::kWarn,
                   down ? "upstream_down" : "upstream_up");
    members_.Post(AnnounceState{*effects_.announcement});
  }
  if (effects_.upstream_probe) ProbeUpstream(*effects_.upstream_probe);
}

void SidecarLoop::ProbeUpstream(ByteView probe) {
  if (!probe_socket_) {
    LastReason<link::LinkError> reason;
    probe_socket_ =
        link::DatagramSocket::Connect(settings_.sidecar->upstream, reason);
    if (!probe_socket_) return;
    poller_.Add(probe_socket_->fd(), kProbeTag);
  }
  if (send(probe_socket_->fd(), probe.data(), probe.size(), MSG_DONTWAIT) < 0) {
    ++dropped_;
  }
}

void SidecarLoop::ReadProbeSocket(TimePoint now) {
  bool refused = false;
  const auto count = receive_.Receive(*probe_socket_, refused);
  if (refused || count > 0) sidecar_.OnUpstreamProbed(refused, now);
}

void SidecarLoop::TakeAnswers(TimePoint now) {
  for (const auto& answer : members_.TakeAnswers()) {
    if (const auto* lease = std::get_if<LeaseAnswer>(&answer)) {
      OnLeaseAnswer(*lease, now);
    } else if (const auto* death = std::get_if<DeathAnswer>(&answer)) {
      sidecar_.OnDeathRecorded(death->death, death->outcome, now);
    } else if (const auto* hint = std::get_if<HealthHint>(&answer)) {
      sidecar_.OnHealthReport(hint->healthy, now);
    }
  }
}

void SidecarLoop::OnLeaseAnswer(const LeaseAnswer& answer, TimePoint now) {
  using telemetry::LogLevel;
  const telemetry::LogField incarnation("incarnation", Raw(answer.incarnation));
  switch (answer.standing) {
    case Standing::kInForce:
      telemetry::Log(LogLevel::kInfo, "lease_confirmed", {incarnation});
      break;
    case Standing::kClaimed:
      telemetry::Log(LogLevel::kWarn, "incarnation_claimed", {incarnation});
      sidecar_.BeginIncarnation(answer.incarnation, DrawPermitKey(), now,
                                effects_);
      CarryOut();
      break;
    case Standing::kSuperseded:
      telemetry::Log(LogLevel::kError, "incarnation_superseded", {incarnation});
      sidecar_.OnSuperseded();
      // Before the main thread wakes, which asks why it shall stop.
      lease_ = sidecar_.lease();
      StopSignal::Raise();
      return;
  }
  sidecar_.OnLeaseConfirmed(answer.question, now);
}

}  // namespace cowslip::daemon
