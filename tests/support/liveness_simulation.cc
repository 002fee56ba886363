#include "support/liveness_simulation.h"

#include <algorithm>

namespace cowslip::test {
namespace {

using membership::RecordOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ServiceId kService{1};
constexpr milliseconds kTick{200};
constexpr char kTicket[] = R"(
ticket: 1
author: test
note: test
services:
  - {id: 1, name: custody, address: "127.53.0.1:5683", protocol: coap, prefer: balance, idle_timeout: 60s}
)";

ticket::TicketState MakeTickets() {
  LastReason<ticket::TicketError> reason;
  const auto parsed = ticket::ParseTicket(kTicket, "ticket", reason);
  return *ticket::TicketState{}.Apply(*parsed, reason);
}

}  // namespace

LivenessSimulation::LivenessSimulation(const Options& options)
    : options_(options),
      generator_(options.seed),
      now_(seconds(1000)),
      tickets_(MakeTickets()),
      store_(options.members) {
  for (std::size_t i = 0; i < options.members; ++i) {
    Upstream upstream;
    upstream.id = UpstreamId(static_cast<std::uint32_t>(i + 1));
    upstream.service = kService;
    upstream.incarnation = Incarnation(1);
    upstream.sidecar = {static_cast<std::uint32_t>(i), 7000};
    upstream.data_center = std::to_string(i % options.data_centers);
    members_.push_back(
        {upstream, MakeMonitor(i),
         membership::LeaseGate(options.lease, Incarnation(1), now_)});
  }
  PublishViews();
}

membership::LivenessMonitor LivenessSimulation::MakeMonitor(
    std::size_t member) {
  membership::LivenessOptions options;
  options.id = UpstreamId(static_cast<std::uint32_t>(member + 1));
  options.service = kService;
  options.seed = generator_();
  LastReason<membership::MembershipError> reason;
  return *membership::LivenessMonitor::Create(options, reason);
}

Duration LivenessSimulation::Latency() {
  constexpr int kMaxMilliseconds = 20;
  return milliseconds(1 + generator_() % kMaxMilliseconds);
}

void LivenessSimulation::Post(Message message, Duration delay) {
  message.at = now_ + delay;
  message.number = ++last_number_;
  queue_.push(std::move(message));
}

void LivenessSimulation::SendFrame(Message message) {
  ++frames_;
  std::uniform_real_distribution<double> chance(0, 1);
  if (chance(generator_) < options_.loss) return;
  if (reaches_ && !reaches_(message.from, message.to)) return;
  Post(std::move(message), Latency());
}

void LivenessSimulation::PublishViews() {
  std::vector<Upstream> upstreams;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (store_[i].dead) continue;
    auto upstream = members_[i].upstream;
    upstream.incarnation = store_[i].incarnation;
    upstreams.push_back(std::move(upstream));
  }
  const auto view = std::make_shared<membership::View>(++epoch_, tickets_,
                                                       std::move(upstreams));
  for (std::size_t i = 0; i < members_.size(); ++i) {
    Post({.kind = Kind::kView, .to = i, .view = view}, 10 * Latency());
  }
}

void LivenessSimulation::Restart(std::size_t member) {
  auto& record = store_[member];
  record.incarnation = Incarnation(Raw(record.incarnation) + 1);
  record.dead = false;
  auto& restarted = members_[member];
  restarted.alive = true;
  restarted.paused = false;
  restarted.dead_while_paused = false;
  restarted.monitor = MakeMonitor(member);
  restarted.gate =
      membership::LeaseGate(options_.lease, record.incarnation, now_);
  restarted.upstream.incarnation = record.incarnation;
  PublishViews();
}

std::size_t LivenessSimulation::deaths() const {
  return static_cast<std::size_t>(
      std::count_if(store_.begin(), store_.end(),
                    [](const Record& record) { return record.dead; }));
}

void LivenessSimulation::ApplyRecord(const Message& message) {
  const membership::RecordDeath death{kService, message.confirmation_id.subject,
                                      message.confirmation_id.incarnation};
  auto& reporter = members_[message.from];
  if (!store_up_) {
    reporter.monitor.OnRecorded(death, RecordOutcome::kUnavailable, now_);
    return;
  }
  auto& record = store_[Raw(death.subject) - 1];
  const bool current = record.incarnation == death.incarnation && !record.dead;
  if (current) {
    record.dead = true;
    ++record.evictions;
    members_[Raw(death.subject) - 1].dead_while_paused =
        members_[Raw(death.subject) - 1].paused;
    ++record_writes_;
    PublishViews();
  }
  reporter.monitor.OnRecorded(
      death,
      current ? RecordOutcome::kWritten : RecordOutcome::kAlreadyRecorded,
      now_);
}

void LivenessSimulation::CheckAnnouncement(const Message& message) {
  auto& member = members_[message.to];
  auto& record = store_[message.to];
  if (!store_up_) {
    Post(message, seconds(1));
    return;
  }
  if (record.incarnation > member.upstream.incarnation) {
    member.gate.OnSuperseded();
    return;
  }
  if (record.dead) {
    record.dead = false;
    record.incarnation = Incarnation(Raw(record.incarnation) + 1);
    member.upstream.incarnation = record.incarnation;
    member.dead_while_paused = false;
    member.gate.OnClaimed(record.incarnation);
    PublishViews();
  }
  member.gate.OnVerified(message.check_id);
}

void LivenessSimulation::Deliver(const Message& message) {
  auto& member = members_[message.to];
  if (!member.alive || member.paused) return;
  member.gate.OnEvent(now_);
  auto& monitor = member.monitor;
  const auto& sender = members_[message.from].upstream;
  const auto note_sender = [&] {
    monitor.OnFrameReceived(sender.id, sender.incarnation, false, now_,
                            effects_);
  };
  switch (message.kind) {
    case Kind::kProbe:
      note_sender();
      SendFrame({.kind = Kind::kAck, .from = message.to, .to = message.from});
      break;
    case Kind::kAck:
      note_sender();
      break;
    case Kind::kProbeRequest:
      note_sender();
      monitor.OnProbeRequest({sender.sidecar, message.confirmation_id}, now_,
                             effects_);
      break;
    case Kind::kProbeReply:
      note_sender();
      monitor.OnProbeReply(sender.id, message.confirmation_id,
                           message.reachable, now_, effects_);
      break;
    case Kind::kView: {
      const auto* service = message.view->Find(kService);
      member.gate.OnOwnViewEntry(service->Find(member.upstream.id));
      monitor.OnView(message.view, now_);
      break;
    }
    case Kind::kAnnouncementCheck:
      CheckAnnouncement(message);
      break;
    case Kind::kRecord:
      break;
  }
  ExecuteEffects(message.to);
}

void LivenessSimulation::ExecuteEffects(std::size_t member) {
  const auto effects = std::move(effects_);
  effects_ = {};
  for (const auto& probe : effects.probes) {
    SendFrame({.kind = Kind::kProbe, .from = member, .to = probe.to.address});
  }
  for (const auto& probe_request : effects.probe_requests) {
    SendFrame({.kind = Kind::kProbeRequest,
               .from = member,
               .to = probe_request.to.address,
               .confirmation_id = probe_request.inquiry});
  }
  for (const auto& probe_reply : effects.probe_replies) {
    SendFrame(
        {.kind = Kind::kProbeReply,
         .from = member,
         .to = probe_reply.to.address,
         .confirmation_id = probe_reply.inquiry,
         .reachable = probe_reply.reachable && faulty_witness_ != member});
  }
  for (const auto& record : effects.death_records) {
    ++record_attempts_;
    Post({.kind = Kind::kRecord,
          .from = member,
          .confirmation_id = {record.subject, record.incarnation, 0}},
         store_up_ ? Latency() : seconds(1));
  }
  const auto check_id = members_[member].gate.TakeCheck();
  if (check_id) {
    Post(
        {.kind = Kind::kAnnouncementCheck, .to = member, .check_id = *check_id},
        Latency());
  }
}

void LivenessSimulation::Tick() {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    auto& member = members_[i];
    if (!member.alive || member.paused) continue;
    member.gate.OnEvent(now_);
    if (member.dead_while_paused && member.gate.admits_work()) ++stale_accepts_;
    member.monitor.OnTick(now_, effects_);
    ExecuteEffects(i);
  }
}

void LivenessSimulation::Run(Duration time) {
  const auto end = now_ + time;
  auto next_tick = now_ + kTick;
  while (now_ < end) {
    while (!queue_.empty() && queue_.top().at <= next_tick) {
      const auto message = queue_.top();
      queue_.pop();
      now_ = std::max(now_, message.at);
      if (message.kind == Kind::kRecord) {
        ApplyRecord(message);
      } else {
        Deliver(message);
      }
    }
    now_ = next_tick;
    Tick();
    next_tick += kTick;
  }
}

}  // namespace cowslip::test
