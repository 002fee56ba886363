#include "cowslip/segment/sidecar.h"

#include <algorithm>

namespace cowslip::segment {
namespace {

/// Time until a SYN counts as unanswered. An upstream answers within a few
/// milliseconds; a sidecar that has used up its CPU quota sees the answer up to
/// 100 ms later.
constexpr std::chrono::milliseconds kAnswerTimeout{80};
/// Time within which an upstream returns a packet of a flow that it doesn't
/// own. It is on the same machine.
constexpr std::chrono::milliseconds kReturnTime{10};
/// Limit of queries that wait for the upstream; further ones end as unknown.
constexpr std::size_t kMaxPendingQueries = 512;
/// Lag of a balancer's configuration after which its SYNs are not accepted.
/// Shorter than the time within which a configuration has to be in force.
constexpr std::chrono::milliseconds kMaxConfigLag{1500};
/// Interval at which expired entries are removed.
constexpr std::chrono::milliseconds kSweepInterval{500};

}  // namespace

Sidecar::Sidecar(InstanceAddress self, ServiceTag service, Observer& observer,
                 const ProcessStart& started)
    : self_(self),
      service_(service),
      observer_(&observer),
      unseen_flows_(started),
      requests_(flows_, stats_, observer, started) {}

void Sidecar::UpdateConfigVersion(std::uint64_t config, TimePoint now) {
  if (config >= newest_config_) newest_config_in_use_ = true;
  if (config <= newest_config_) return;
  newest_config_ = config;
  config_received_ = now;
}

bool Sidecar::IsStale(const SegmentFrame& frame, TimePoint now) const {
  return newest_config_in_use_ && frame.config < newest_config_ &&
         now - config_received_ > kMaxConfigLag;
}

bool Sidecar::UpstreamMayOwnUnseenFlows(TimePoint now) const {
  if (presence_.is_absent()) return false;
  return unseen_flows_.MayExist(now);
}

void Sidecar::OnFrame(SegmentFrame frame, const Segment& segment,
                      ByteView packet, TimePoint now, Outbox& out) {
  ++stats_.frames;
  UpdateConfigVersion(frame.config, now);
  if (frame.service == service_) requests_.OnFrame(frame);
  if (segment.is_syn()) {
    ++stats_.openings;
    HandleSyn(frame, segment, packet, now, out);
  } else {
    HandleExistingFlow(frame, segment, packet, now, out);
  }
  requests_.Dispatch(now, out);
}

void Sidecar::HandleSyn(SegmentFrame& frame, const Segment& segment,
                        ByteView packet, TimePoint now, Outbox& out) {
  const auto* known = flows_.Find(segment.flow);
  const bool owned =
      known != nullptr && (known->state == FlowState::kSynSent ||
                           known->state == FlowState::kEstablished);
  if (owned) {
    // A copy of the SYN: the upstream answers with the same sequence number.
    out.SendToUpstream(sent_frames_.Store(segment.flow, frame), packet);
    Acknowledge(frame, AckStatus::kAccepted, segment, now, out);
    return;
  }
  if (frame.service != service_) {
    LogDecision("pass_on", "other_service", segment.flow, frame);
    Forward(frame, segment, packet, now, out);
    return;
  }
  if (IsStale(frame, now)) {
    ++stats_.stale_balancer;
    LogDecision("pass_on", "stale_balancer", segment.flow, frame);
    Forward(frame, segment, packet, now, out);
    return;
  }
  if (!open() || data_center_ != DataCenterStatus::kOpen) {
    CountRefusal(frame);
    LogDecision("pass_on", ClosedReason(), segment.flow, frame);
    Forward(frame, segment, packet, now, out);
    return;
  }
  const auto decision = requests_.DecideSyn(frame, segment, now);
  const auto admission = decision.admission;
  const bool chosen = frame.forced && (admission == Admission::kCandidate ||
                                       decision.choice_is_final);
  if (admission == Admission::kAccept || chosen) {
    Accept(frame, segment, packet, now, out);
    return;
  }
  const auto wait = static_cast<std::uint32_t>(decision.answer_time.count());
  if (admission == Admission::kTooLate) {
    frame.overloaded = true;
    LogDecision("pass_on", "too_late", segment.flow, frame);
  } else if (wait < frame.best_wait_us) {
    frame.best_wait_us = wait;
    frame.best_place = frame.place;
  }
  Forward(frame, segment, packet, now, out);
}

void Sidecar::Accept(const SegmentFrame& frame, const Segment& segment,
                     ByteView packet, TimePoint now, Outbox& out) {
  ++stats_.taken;
  auto& entry = StartRecord(segment.flow, FlowState::kSynSent, now);
  requests_.OnSynAccepted(entry, frame, segment, now);
  out.SendToUpstream(sent_frames_.Store(segment.flow, frame), packet);
  if (packet.size() <= PendingSyn::kMaxPacket) {
    PendingSyn pending_syn;
    pending_syn.flow = segment.flow;
    pending_syn.frame = frame;
    std::copy(packet.begin(), packet.end(), pending_syn.packet.begin());
    pending_syn.packet_size = static_cast<std::uint8_t>(packet.size());
    pending_syn.due = now + kAnswerTimeout;
    pending_syns_.push_back(pending_syn);
  }
  LogDecision("take", frame.forced ? "least_loaded" : "has_room", segment.flow,
              frame);
  Acknowledge(frame, AckStatus::kAccepted, segment, now, out);
}

Ownership Sidecar::OwnershipOf(const FlowEntry* entry, const Segment& segment,
                               TimePoint now) const {
  const auto unseen = UpstreamMayOwnUnseenFlows(now) ? Ownership::kUnknown
                                                     : Ownership::kNotOwned;
  if (entry == nullptr) return unseen;
  switch (entry->state) {
    case FlowState::kEstablished:
    case FlowState::kClosed:
      return Ownership::kOwned;
    case FlowState::kNotOwned:
      return Ownership::kNotOwned;
    case FlowState::kSynSent:
      // Another upstream may have answered a copy of the SYN first, and this
      // one may have answered an earlier copy through an earlier process.
      return entry->syn_acked && AcceptsHandshake(segment, entry->upstream_seq)
                 ? Ownership::kOwned
                 : unseen;
  }
  return Ownership::kUnknown;
}

void Sidecar::HandleExistingFlow(SegmentFrame& frame, const Segment& segment,
                                 ByteView packet, TimePoint now, Outbox& out) {
  auto* row = flows_.Find(segment.flow);
  switch (OwnershipOf(row, segment, now)) {
    case Ownership::kOwned:
      if (presence_.is_absent()) {
        ResetLostFlow(*row, "upstream_absent", segment, now, out);
        return;
      }
      if (row->state == FlowState::kSynSent) {
        row->state = FlowState::kEstablished;
      }
      Deliver(*row, frame, segment, packet, now, out);
      return;
    case Ownership::kNotOwned:
      Forward(frame, segment, packet, now, out);
      return;
    case Ownership::kUnknown:
      if (!frame.other_service &&
          pending_queries_.size() < kMaxPendingQueries &&
          requests_.ClaimQuery(segment, now)) {
        QueryUpstream(frame, segment, packet, now, out);
        return;
      }
      frame.inconclusive = true;
      Forward(frame, segment, packet, now, out);
      return;
  }
}

void Sidecar::QueryUpstream(SegmentFrame& frame, const Segment& segment,
                            ByteView packet, TimePoint now, Outbox& out) {
  ++stats_.asked;
  ++frame.asked;
  LogDecision("ask_upstream", "started_after_flow", segment.flow, frame);
  out.SendToUpstream(sent_frames_.Store(segment.flow, frame), packet);
  pending_queries_.push_back(
      {segment, frame, Bytes(packet.begin(), packet.end()), now + kReturnTime});
  // Not accepted yet: the lookup ends once the upstream has kept the packet.
  Acknowledge(frame, AckStatus::kForwarded, segment, now, out, self_);
}

/// An upstream that runs and has not returned the packet keeps the flow. Of one
/// that may not run nothing is known, so the packet goes on to other members.
void Sidecar::EndQueries(TimePoint now, Outbox& out) {
  while (!pending_queries_.empty() && now >= pending_queries_.front().due) {
    auto query = std::move(pending_queries_.front());
    pending_queries_.pop_front();
    const auto* entry = flows_.Find(query.segment.flow);
    const bool returned =
        entry != nullptr && entry->state == FlowState::kNotOwned;
    if (returned) continue;
    if (UpstreamIsAlive()) {
      Acknowledge(query.frame, AckStatus::kAccepted, query.segment, now, out);
    } else {
      query.frame.inconclusive = true;
      Forward(query.frame, query.segment, query.packet, now, out);
    }
  }
}

void Sidecar::Deliver(FlowEntry& entry, const SegmentFrame& frame,
                      const Segment& segment, ByteView packet, TimePoint now,
                      Outbox& out) {
  entry.last_activity = now;
  requests_.OnCallerPacket(entry, frame, segment, packet, now, out);
  if (segment.fin) entry.caller_fin = true;
  if (segment.rst || (entry.caller_fin && entry.upstream_fin)) {
    requests_.Release(segment.flow, entry, now);
    entry.state = FlowState::kClosed;
  }
  if (frame.place > 0 || frame.searched) {
    Acknowledge(frame, AckStatus::kAccepted, segment, now, out);
  }
}

void Sidecar::Forward(SegmentFrame& frame, const Segment& segment,
                      ByteView packet, TimePoint now, Outbox& out) {
  const std::uint8_t next = frame.place + 1;
  if (!frame.forced && next < frame.hop_count) {
    ++stats_.passed;
    Acknowledge(frame, AckStatus::kForwarded, segment, now, out,
                frame.hops[next]);
    frame.place = next;
    out.SendFrame(frame.hops[next], frame, packet);
    return;
  }
  const bool has_queue_candidate = frame.best_wait_us != UINT32_MAX;
  if (segment.is_syn() && has_queue_candidate && !frame.forced) {
    frame.forced = true;
    frame.place = frame.best_place;
    if (frame.hops[frame.place] == self_) {
      Accept(frame, segment, packet, now, out);
    } else {
      Acknowledge(frame, AckStatus::kForwarded, segment, now, out,
                  frame.hops[frame.place]);
      out.SendFrame(frame.hops[frame.place], frame, packet);
    }
    return;
  }
  ++stats_.unheld;
  LogDecision("unheld", frame.inconclusive ? "some_unknown" : "list_ended",
              segment.flow, frame);
  Acknowledge(
      frame,
      frame.inconclusive ? AckStatus::kInconclusive : AckStatus::kNotFound,
      segment, now, out);
}

void Sidecar::OnUpstreamPacket(const Segment& segment, ByteView packet,
                               TimePoint now, Outbox& out) {
  ++stats_.to_callers;
  presence_.OnActivity();
  upstream_state_.OnAnswered();
  RecordUpstreamPacket(segment, now);
  out.SendToCaller(segment.flow, packet);
  requests_.Dispatch(now, out);
}

FlowEntry& Sidecar::StartRecord(const FlowKey& flow, FlowState state,
                                TimePoint now) {
  const auto evicted = flows_.evicted_open();
  auto& entry = flows_.Start(flow, state, now);
  entry.upstream_restarts = requests_.upstream_restarts();
  entry.started = now;
  if (flows_.evicted_open() != evicted) unseen_flows_.OnRecordLost(now);
  return entry;
}

void Sidecar::RecordUpstreamPacket(const Segment& segment, TimePoint now) {
  auto* entry = flows_.Find(segment.flow);
  const bool unknown = entry == nullptr || entry->state == FlowState::kNotOwned;
  if (ProvesOwnership(segment)) {
    if (unknown) {
      entry = &StartRecord(segment.flow, FlowState::kEstablished, now);
    } else if (entry->state == FlowState::kSynSent) {
      entry->state = FlowState::kEstablished;
    }
  } else if (entry == nullptr && segment.syn) {
    entry = &StartRecord(segment.flow, FlowState::kSynSent, now);
  } else if (unknown) {
    return;
  }
  entry->last_activity = now;
  if (segment.syn) {
    entry->syn_acked = true;
    entry->upstream_seq = segment.seq;
  }
  requests_.OnUpstreamPacket(*entry, segment, now);
  if (segment.fin) entry->upstream_fin = true;
  const bool both_closed = entry->caller_fin && entry->upstream_fin;
  if (!segment.rst && !both_closed) return;
  requests_.Release(segment.flow, *entry, now);
  // A reset during the handshake doesn't tell whom the caller has chosen.
  entry->state = entry->state == FlowState::kSynSent ? FlowState::kNotOwned
                                                     : FlowState::kClosed;
}

void Sidecar::OnReturned(std::uint32_t token, const Segment& segment,
                         ByteView packet, TimePoint now, Outbox& out) {
  ++stats_.bounced;
  presence_.OnReturned();
  upstream_state_.OnAnswered();
  auto* entry = flows_.Find(segment.flow);
  const auto frame = sent_frames_.Find(token, segment.flow);
  if (segment.is_syn()) {
    if (entry != nullptr) {
      requests_.Release(segment.flow, *entry, now);
      flows_.Erase(segment.flow);
    }
    if (!frame) return;
    auto next = *frame;
    LogDecision("pass_on", "upstream_refused", segment.flow, next);
    Forward(next, segment, packet, now, out);
    return;
  }
  const bool owned =
      entry != nullptr && (entry->state == FlowState::kEstablished ||
                           entry->state == FlowState::kClosed);
  if (owned) {
    requests_.OnFlowLost(*entry, now);
    // The upstream owned the flow and has lost it in a restart. The caller's
    // next attempt needs an upstream that accepts connections.
    if (!upstream_ready()) {
      LogDecision("lost_flow", "upstream_not_ready", segment.flow,
                  SegmentFrame{});
      return;
    }
    ResetLostFlow(*entry, "upstream_bounced", segment, now, out);
    return;
  }
  if (entry == nullptr) {
    StartRecord(segment.flow, FlowState::kNotOwned, now);
  } else {
    requests_.Release(segment.flow, *entry, now);
    entry->state = FlowState::kNotOwned;
  }
  if (!frame) return;
  auto next = *frame;
  Forward(next, segment, packet, now, out);
}

/// Resets a flow that was placed here and that the upstream has lost.
void Sidecar::ResetLostFlow(FlowEntry& entry, std::string_view reason,
                            const Segment& segment, TimePoint now,
                            Outbox& out) {
  LogDecision("lost_flow", reason, segment.flow, SegmentFrame{});
  if (entry.state == FlowState::kClosed) return;
  requests_.Release(segment.flow, entry, now);
  requests_.Dispatch(now, out);
  ++stats_.resets;
  out.SendReset(segment.flow, segment.ack);
}

void Sidecar::OnProbe(InstanceAddress balancer, TimePoint now, Outbox& out) {
  Ack ack;
  ack.verdict = AckStatus::kProbeReply;
  FillState(ack, now);
  out.SendAck(balancer, ack);
}

void Sidecar::OnTick(TimePoint now, Outbox& out) {
  presence_.OnTick(now);
  if (presence_.is_silent()) requests_.OnMayHaveRestarted();
  EndQueries(now, out);
  while (!pending_syns_.empty() && now >= pending_syns_.front().due) {
    auto pending_syn = pending_syns_.front();
    pending_syns_.pop_front();
    auto* entry = flows_.Find(pending_syn.flow);
    if (entry == nullptr || entry->syn_acked ||
        entry->state != FlowState::kSynSent) {
      continue;
    }
    ++stats_.unanswered;
    const bool was_open = upstream_state_.open();
    upstream_state_.OnUnanswered();
    if (was_open && !upstream_state_.open()) {
      requests_.OnMayHaveRestarted();
      LogDecision("upstream_silent", "openings_unanswered", pending_syn.flow,
                  pending_syn.frame);
    }
    requests_.Release(pending_syn.flow, *entry, now);
    Segment segment;
    segment.flow = pending_syn.flow;
    segment.syn = true;
    LogDecision("pass_on", "unanswered", pending_syn.flow, pending_syn.frame);
    Forward(pending_syn.frame, segment, pending_syn.bytes(), now, out);
  }
  requests_.OnTick(now, out);
  if (now - last_sweep_ < kSweepInterval) return;
  last_sweep_ = now;
  requests_.SetWarmup(upstream_state_.report().warmup_left >
                      std::chrono::milliseconds{0});
  flows_.Expire(now, [&](const FlowKey& flow, FlowEntry& entry) {
    requests_.Release(flow, entry, now);
  });
}

void Sidecar::OnResume(TimePoint now) {
  stats_.outdated += pending_syns_.size();
  for (const auto& syn : pending_syns_) {
    auto* entry = flows_.Find(syn.flow);
    if (entry != nullptr && !entry->syn_acked) {
      requests_.Release(syn.flow, *entry, now);
    }
  }
  pending_syns_.clear();
  pending_queries_.clear();
  requests_.OnResume(now);
}

void Sidecar::OnBacklogFrame(const SegmentFrame& frame, const Segment& segment,
                             ByteView packet, TimePoint now, Outbox& out) {
  if (segment.is_syn()) {
    ++stats_.outdated;
    return;
  }
  OnFrame(frame, segment, packet, now, out);
}

ReportResult Sidecar::OnReport(const UpstreamReport& report, TimePoint now) {
  const auto result = upstream_state_.OnReport(report, now);
  if (result == ReportResult::kOutdated) return result;
  presence_.OnReport(result == ReportResult::kNewIncarnation);
  unseen_flows_.OnReport(report, now);
  requests_.OnReport(report, result == ReportResult::kNewIncarnation, now);
  return result;
}

void Sidecar::Acknowledge(const SegmentFrame& frame, AckStatus status,
                          const Segment& segment, TimePoint now, Outbox& out,
                          InstanceAddress next) {
  Ack ack;
  ack.verdict = status;
  ack.syn = segment.is_syn();
  ack.flow = segment.flow;
  FillState(ack, now);
  ack.caller_ack = segment.ack;
  ack.next = next;
  ack.overloaded = frame.overloaded;
  ack.evacuated = ack.syn && frame.AllEvacuated();
  out.SendAck(frame.balancer, ack);
}

void Sidecar::FillState(Ack& ack, TimePoint now) {
  ack.open = open();
  ack.config = newest_config_;
  ack.expected_wait_us = static_cast<std::uint32_t>(
      requests_.ExpectedWait(now, ack.flow.service).count());
  ack.responses = requests_.responses().Report(ack.flow.service, now);
  ack.free_slots =
      open() ? static_cast<std::uint16_t>(requests_.Capacity(now)) : 0;
}

void Sidecar::LogDecision(std::string_view action, std::string_view reason,
                          const FlowKey& flow, const SegmentFrame& frame) {
  observer_->OnDecision({action, reason, flow, frame.balancer, frame.config,
                         frame.place, frame.best_wait_us});
}

}  // namespace cowslip::segment
