#include "cowslip/daemon/sidecar_loop.h"

#include <openssl/rand.h>
#include <sys/socket.h>

#include "cowslip/telemetry.h"
#include "frame_socket.h"
#include "stop_signal.h"

namespace cowslip::daemon {
namespace {

/// Poller tags of the frame and probe sockets; flow slots have tags from 1.
constexpr std::uint64_t kFramesTag = 0;
constexpr std::uint64_t kProbeTag = ~0ULL;
constexpr std::chrono::milliseconds kPollInterval{10};
/// Datagrams that waited longer than this in the socket were queued while the
/// process was stopped; they are dropped.
constexpr std::chrono::milliseconds kMaxQueueTime{500};

std::uint64_t ToTag(flow::FlowSlot slot) { return Raw(slot) + 1ULL; }
permit::PermitKey RandomPermitKey() {
  permit::PermitKey key{};
  RAND_bytes(key.data(), static_cast<int>(key.size()));
  return key;
}

flow::FlowSlot FromTag(std::uint64_t tag) {
  return flow::FlowSlot(static_cast<std::uint32_t>(tag - 1));
}

}  // namespace

std::unique_ptr<SidecarLoop> SidecarLoop::Create(
    const settings::DaemonSettings& settings, const IncarnationClaim& claim,
    ViewPublisher& views, MembershipThread& membership_thread,
    LastReason<DaemonError>& reason) {
  const auto& sidecar_settings = *settings.sidecar;
  engine::SidecarOptions options;
  options.id = sidecar_settings.id;
  options.service = sidecar_settings.service;
  options.incarnation = claim.incarnation;
  options.claim_started = claim.start_time;
  options.started = std::chrono::steady_clock::now();
  options.slots = sidecar_settings.slots;
  options.slow_start = sidecar_settings.slow_start;
  options.permit_key = RandomPermitKey();
  RAND_bytes(reinterpret_cast<unsigned char*>(&options.seed),
             sizeof options.seed);
  LastReason<engine::EngineError> engine_reason;
  auto sidecar = engine::Sidecar::Create(options, engine_reason);
  if (!sidecar) {
    reason.Set(DaemonError::kEngine, engine_reason.Message());
    return nullptr;
  }
  auto frames =
      FrameSocket::Open(settings.frame_key, sidecar_settings.frames, reason);
  if (!frames) return nullptr;
  return std::unique_ptr<SidecarLoop>(
      new SidecarLoop(settings, views, membership_thread, std::move(*sidecar),
                      std::move(frames->codec), std::move(frames->socket)));
}

SidecarLoop::SidecarLoop(const settings::DaemonSettings& settings,
                         ViewPublisher& views,
                         MembershipThread& membership_thread,
                         engine::Sidecar sidecar, link::FrameCodec codec,
                         link::DatagramSocket frames)
    : settings_(settings),
      views_(views),
      membership_(membership_thread),
      sidecar_(std::move(sidecar)),
      codec_(std::move(codec)),
      frames_(std::move(frames)) {
  poller_.Add(frames_.fd(), kFramesTag);
}

void SidecarLoop::ApplyView(TimePoint now) {
  if (views_.epoch() == epoch_) return;
  auto view = views_.Get();
  epoch_ = view->epoch();
  sidecar_.OnView(std::move(view), now, effects_);
  ApplyEffects();
}

void SidecarLoop::Run() {
  while (!stopping_) {
    pause_guard_.BeginRound(std::chrono::steady_clock::now());
    ApplyView(std::chrono::steady_clock::now());
    if (drain_requested_.exchange(false)) {
      sidecar_.StartDrain(effects_);
      ApplyEffects();
    }
    const auto ready = poller_.Wait(kPollInterval);
    const auto now = std::chrono::steady_clock::now();
    pause_guard_.OnWake(now);
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
    ApplyEffects();
    HandleResults(now);
    remaining_work_ = sidecar_.flow_count() + sidecar_.runs_in_progress();
    runs_in_progress_ = sidecar_.runs_in_progress();
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
    if (!pause_guard_.accepts_datagrams() || !frame ||
        datagram.queue_delay > kMaxQueueTime) {
      ++dropped_;
      continue;
    }
    sidecar_.OnFrame(*frame, datagram.from, now, effects_);
  }
  ApplyEffects();
}

void SidecarLoop::ReadUpstream(flow::FlowSlot slot, TimePoint now) {
  auto& socket = upstream_sockets_[Raw(slot)];
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
  ApplyEffects();
}

link::DatagramSocket* SidecarLoop::UpstreamSocket(flow::FlowSlot slot) {
  const auto index = Raw(slot);
  if (index >= upstream_sockets_.size()) upstream_sockets_.resize(index + 1);
  auto& socket = upstream_sockets_[index];
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
  if (index >= upstream_sockets_.size() || !upstream_sockets_[index]) return;
  poller_.Remove(upstream_sockets_[index]->fd());
  upstream_sockets_[index].reset();
}

void SidecarLoop::ApplyEffects() {
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
    views_.ReportTicket(fetch.number);
  }
  PostMembershipRequests();
  effects_.Clear();
}

void SidecarLoop::PostMembershipRequests() {
  if (effects_.lease_check) {
    telemetry::Log(telemetry::LogLevel::kWarn, "lease_in_doubt",
                   {{"incarnation", Raw(sidecar_.incarnation())}});
    membership_.Post(ConfirmLease{*effects_.lease_check});
  }
  for (const auto& death : effects_.deaths) {
    membership_.Post(RecordPeerDeath{death, std::chrono::steady_clock::now()});
  }
  if (effects_.announcement) {
    const bool is_down = *effects_.announcement == UpstreamState::kDown;
    telemetry::Log(telemetry::LogLevel::kWarn,
                   is_down ? "upstream_down" : "upstream_up");
    membership_.Post(AnnounceState{*effects_.announcement});
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

void SidecarLoop::HandleResults(TimePoint now) {
  for (const auto& result : membership_.TakeResults()) {
    if (const auto* lease_result = std::get_if<LeaseResult>(&result)) {
      OnLeaseResult(*lease_result, now);
    } else if (const auto* death_result =
                   std::get_if<DeathRecordResult>(&result)) {
      sidecar_.OnDeathRecorded(death_result->death, death_result->outcome, now);
    } else if (const auto* health_hint = std::get_if<HealthHint>(&result)) {
      sidecar_.OnHealthReport(health_hint->healthy, now);
    }
  }
}

void SidecarLoop::OnLeaseResult(const LeaseResult& result, TimePoint now) {
  using telemetry::LogLevel;
  const telemetry::LogField incarnation("incarnation", Raw(result.incarnation));
  switch (result.status) {
    case LeaseStatus::kActive:
      telemetry::Log(LogLevel::kInfo, "lease_confirmed", {incarnation});
      break;
    case LeaseStatus::kReclaimed:
      telemetry::Log(LogLevel::kWarn, "incarnation_claimed", {incarnation});
      sidecar_.BeginIncarnation(result.incarnation, RandomPermitKey(), now,
                                effects_);
      ApplyEffects();
      break;
    case LeaseStatus::kSuperseded:
      telemetry::Log(LogLevel::kError, "incarnation_superseded", {incarnation});
      sidecar_.OnSuperseded();
      // Set before the signal, because the main thread reads it to find out why
      // it was woken.
      lease_ = sidecar_.lease();
      StopSignal::Raise();
      return;
  }
  sidecar_.OnLeaseConfirmed(result.check_id, now);
}

}  // namespace cowslip::daemon
