#include "cowslip/membership/liveness_monitor.h"

#include <algorithm>

namespace cowslip::membership {

std::optional<LivenessMonitor> LivenessMonitor::Create(
    const LivenessOptions& options, LastReason<MembershipError>& reason) {
  const bool usable = options.neighbours > 0 &&
                      options.retry_period > Duration::zero() &&
                      options.probe_period >= options.retry_period &&
                      options.suspect_after > options.probe_period;
  if (usable) return LivenessMonitor(options);
  reason.Set(MembershipError::kBadOptions, "liveness");
  return std::nullopt;
}

LivenessMonitor::LivenessMonitor(const LivenessOptions& options)
    : options_(options), generator_(options.seed), witness_(options) {}

std::vector<const Upstream*> LivenessMonitor::Successors() const {
  std::vector<const Upstream*> successors;
  const auto* service = view_->Find(options_.service);
  if (service == nullptr) return successors;
  const auto& members = service->upstreams;
  const auto after = static_cast<std::size_t>(
      std::upper_bound(members.begin(), members.end(), options_.id,
                       [](UpstreamId id, const Upstream& upstream) {
                         return id < upstream.id;
                       }) -
      members.begin());
  for (std::size_t i = 0; i < members.size(); ++i) {
    const auto& next = members[(after + i) % members.size()];
    if (next.id == options_.id) continue;
    successors.push_back(&next);
    if (successors.size() == options_.neighbours) break;
  }
  return successors;
}

void LivenessMonitor::OnView(ViewPtr view, TimePoint now) {
  view_ = std::move(view);
  std::vector<Target> targets;
  for (const auto* upstream : Successors()) {
    const auto* previous = FindTarget(upstream->id);
    const bool same = previous != nullptr &&
                      previous->upstream.incarnation == upstream->incarnation;
    Target target = same ? *previous : Target{};
    if (!same) target.last_seen = now;
    target.upstream = *upstream;
    target.distance = targets.size() + 1;
    targets.push_back(std::move(target));
  }
  targets_ = std::move(targets);
}

const LivenessMonitor::Target* LivenessMonitor::FindTarget(
    UpstreamId id) const {
  for (const auto& target : targets_) {
    if (target.upstream.id == id) return &target;
  }
  return nullptr;
}

LivenessMonitor::Target* LivenessMonitor::FindTarget(UpstreamId id) {
  return const_cast<Target*>(std::as_const(*this).FindTarget(id));
}

void LivenessMonitor::OnFrameReceived(UpstreamId id, Incarnation incarnation,
                                      bool leaving, TimePoint now,
                                      LivenessEffects& effects) {
  witness_.OnFrameReceived(id, incarnation, now, effects);
  auto* target = FindTarget(id);
  if (target == nullptr || incarnation < target->upstream.incarnation) return;
  target->last_seen = now;
  target->seen = true;
  target->leaving = leaving;
  target->inconclusive = 0;
  target->confirmation.reset();
}

void LivenessMonitor::OnProbeRequest(const IndirectProbeRequest& request,
                                     TimePoint now, LivenessEffects& effects) {
  const auto* subject =
      view_ == nullptr ? nullptr : view_->FindMember(request.inquiry.subject);
  witness_.OnProbeRequest(request, subject, now, effects);
}

void LivenessMonitor::OnProbeReply(UpstreamId witness,
                                   const ConfirmationId& confirmation_id,
                                   bool reachable, TimePoint now,
                                   LivenessEffects& effects) {
  auto* target = FindTarget(confirmation_id.subject);
  if (target == nullptr || !target->confirmation) return;
  if (target->confirmation->id() != confirmation_id) return;
  target->confirmation->OnProbeReply(witness, reachable);
  ApplyResult(*target, now, effects);
}

void LivenessMonitor::OnRecorded(const RecordDeath& record,
                                 RecordOutcome outcome, TimePoint now) {
  auto* target = FindTarget(record.subject);
  if (target == nullptr || target->upstream.incarnation != record.incarnation) {
    return;
  }
  if (outcome == RecordOutcome::kUnavailable) target->record_pending = false;
  EndConfirmation(*target, now);
}

bool LivenessMonitor::IsUnresponsive(const Target& target,
                                     TimePoint now) const {
  return now - target.last_seen >
         options_.probe_period + 3 * options_.retry_period;
}

std::size_t LivenessMonitor::CountUnresponsiveTargets(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      targets_.begin(), targets_.end(),
      [&](const Target& target) { return IsUnresponsive(target, now); }));
}

bool LivenessMonitor::IsolationSuspected(TimePoint now) const {
  return CountUnresponsiveTargets(now) * 2 > targets_.size();
}

bool LivenessMonitor::IsUnavailable(UpstreamId id, TimePoint now) const {
  const auto* target = FindTarget(id);
  return target != nullptr && (target->leaving || IsUnresponsive(*target, now));
}

std::vector<Endpoint> LivenessMonitor::Neighbours() const {
  std::vector<Endpoint> neighbours;
  const auto* service =
      view_ == nullptr ? nullptr : view_->Find(options_.service);
  if (service == nullptr) return neighbours;
  const auto& members = service->upstreams;
  const auto self = std::find_if(
      members.begin(), members.end(),
      [&](const Upstream& upstream) { return upstream.id == options_.id; });
  for (const auto& target : targets_) {
    neighbours.push_back(target.upstream.sidecar);
  }
  if (self == members.end()) return neighbours;
  const auto own = static_cast<std::size_t>(self - members.begin());
  const auto others = members.size() - 1;
  const auto behind =
      std::min(options_.neighbours, others - std::min(others, targets_.size()));
  for (std::size_t i = 1; i <= behind; ++i) {
    neighbours.push_back(
        members[(own + members.size() - i) % members.size()].sidecar);
  }
  return neighbours;
}

/// No frame could be received while this process was paused, so the time of the
/// pause is no sign of a failure.
void LivenessMonitor::ResetSeen(TimePoint now) {
  for (auto& target : targets_) {
    target.last_seen = now;
    target.confirmation.reset();
  }
  witness_.Reset();
}

void LivenessMonitor::OnTick(TimePoint now, LivenessEffects& effects) {
  if (last_tick_ && now - *last_tick_ > options_.max_tick_gap) ResetSeen(now);
  last_tick_ = now;
  witness_.OnTick(now, !IsolationSuspected(now), effects);
  for (auto& target : targets_) {
    ProbeIfDue(target, now, effects);
    StartConfirmationIfDue(target, now, effects);
    ApplyResult(target, now, effects);
  }
}

void LivenessMonitor::ProbeIfDue(Target& target, TimePoint now,
                                 LivenessEffects& effects) {
  const auto unseen_for = now - target.last_seen;
  if (unseen_for < options_.probe_period && target.seen) return;
  if (now < target.next_probe) return;
  effects.probes.push_back({target.upstream.sidecar});
  const bool probably_dead = unseen_for > options_.suspect_after;
  target.next_probe =
      now + (probably_dead ? options_.probe_period : options_.retry_period);
}

void LivenessMonitor::StartConfirmationIfDue(Target& target, TimePoint now,
                                             LivenessEffects& effects) {
  if (target.confirmation || now < target.next_confirmation) return;
  const auto timeout =
      target.seen ? options_.suspect_after : options_.first_contact_timeout;
  const auto delay = options_.stagger * static_cast<int>(target.distance - 1);
  if (now - target.last_seen < timeout + delay) return;
  const ConfirmationId id{target.upstream.id, target.upstream.incarnation,
                          ++last_round_};
  target.record_pending = false;
  target.confirmation.emplace(id, WitnessCandidates(target.upstream), now,
                              options_.reply_timeout);
  ProbeNextStage(target, now, effects);
}

void LivenessMonitor::ProbeNextStage(Target& target, TimePoint now,
                                     LivenessEffects& effects) {
  for (const auto& witness : target.confirmation->NextStage(now)) {
    effects.probe_requests.push_back(
        {witness.sidecar, target.confirmation->id()});
  }
}

void LivenessMonitor::ApplyResult(Target& target, TimePoint now,
                                  LivenessEffects& effects) {
  if (!target.confirmation || target.record_pending) return;
  const bool others_unresponsive = CountUnresponsiveTargets(now) > 1;
  switch (target.confirmation->Evaluate(now, others_unresponsive,
                                        witness_history_)) {
    case ConfirmationResult::kPending:
      return;
    case ConfirmationResult::kAskMore:
      ProbeNextStage(target, now, effects);
      return;
    case ConfirmationResult::kConfirmed:
      effects.death_records.push_back(
          {options_.service, target.upstream.id, target.upstream.incarnation});
      target.record_pending = true;
      AddToHistory(target.confirmation->count());
      break;
    case ConfirmationResult::kInconclusive:
      ++target.inconclusive;
      AddToHistory(target.confirmation->count());
      break;
    case ConfirmationResult::kRefuted:
      break;
  }
  EndConfirmation(target, now);
}

void LivenessMonitor::AddToHistory(const WitnessCount& count) {
  constexpr double kDecay = 0.9;
  witness_history_.asked = witness_history_.asked * kDecay + count.asked;
  witness_history_.answered =
      witness_history_.answered * kDecay + count.answered;
}

void LivenessMonitor::EndConfirmation(Target& target, TimePoint now) {
  std::uniform_int_distribution<Duration::rep> jitter(
      0, options_.confirmation_backoff.count());
  constexpr int kMaxDoublings = 4;
  const int doublings = std::clamp(target.inconclusive - 1, 0, kMaxDoublings);
  target.confirmation.reset();
  target.next_confirmation =
      now + (options_.confirmation_backoff + Duration(jitter(generator_))) *
                (1 << doublings);
}

/// Members of the service in random order, some of the subject's data centre
/// first. A small service is filled up with members of other services.
std::vector<Witness> LivenessMonitor::WitnessCandidates(
    const Upstream& subject) {
  std::vector<Witness> own;
  std::vector<Witness> foreign;
  for (const auto& [id, service] : view_->services()) {
    const bool same = id == options_.service;
    for (const auto& upstream : service->upstreams) {
      if (upstream.id == subject.id || upstream.id == options_.id) continue;
      (same ? own : foreign)
          .push_back({upstream.id, upstream.sidecar,
                      upstream.data_center == subject.data_center});
    }
  }
  std::shuffle(own.begin(), own.end(), generator_);
  std::shuffle(foreign.begin(), foreign.end(), generator_);
  const auto is_local = [](const Witness& witness) { return witness.local; };
  std::stable_partition(foreign.begin(), foreign.end(), is_local);
  while (own.size() < FailureConfirmation::kFirstStage && !foreign.empty()) {
    own.push_back(foreign.front());
    foreign.erase(foreign.begin());
  }
  auto front = own.begin();
  for (std::size_t i = 0; i < FailureConfirmation::kLocalWitnesses; ++i) {
    const auto local = std::find_if(front, own.end(), is_local);
    if (local == own.end()) break;
    std::rotate(front, local, local + 1);
    ++front;
  }
  return own;
}

}  // namespace cowslip::membership
