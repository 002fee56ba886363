#include "cowslip/segment/sidecar.h"

#include <algorithm>

namespace cowslip::segment {
namespace {

/// An upstream answers an opening within a few milliseconds; a sidecar that
/// used up its share of the processor sees the answer up to 100 ms later.
constexpr std::chrono::milliseconds kAnswerTimeout{80};
/// A caller's first request follows its opening within a round trip.
constexpr std::chrono::milliseconds kFirstRequestTime{150};
/// Bytes behind the upstream's first sequence number that a caller can have
/// acknowledged while the flow is young: 16 packets several times over.
constexpr std::uint32_t kOpeningWindow = 1U << 20;
/// Upstreams that one packet may be given to in search of its holder.
constexpr std::uint8_t kMaxAsked = 2;
/// A balancer that is behind for longer gets no new connection placed; shorter
/// than the time within which a configuration has to be in force.
constexpr std::chrono::milliseconds kStaleAfter{1500};
/// Interval of the search for entries that are too old.
constexpr std::chrono::milliseconds kSweepInterval{500};

}  // namespace

Sidecar::Sidecar(InstanceAddress self, ServiceTag service, Observer& observer,
                 TimePoint started)
    : self_(self), service_(service), observer_(&observer), started_(started) {}

void Sidecar::NoteConfig(std::uint64_t config, TimePoint now) {
  if (config <= newest_config_) return;
  newest_config_ = config;
  config_since_ = now;
}

bool Sidecar::IsStale(const SegmentFrame& frame, TimePoint now) const {
  return frame.config < newest_config_ && now - config_since_ > kStaleAfter;
}

bool Sidecar::MayHoldUnknown(TimePoint now) const {
  if (presence_.absent()) return false;
  return has_predecessor_ && !gate_.saw_restart() &&
         now - started_ < kMaxFlowAge;
}

void Sidecar::OnFrame(SegmentFrame frame, const Segment& segment,
                      ByteView packet, TimePoint now, Outbox& out) {
  ++stats_.frames;
  NoteConfig(frame.config, now);
  if (segment.is_syn()) {
    ++stats_.openings;
    OnOpening(frame, segment, packet, now, out);
  } else {
    OnContinuing(frame, segment, packet, now, out);
  }
}

void Sidecar::OnOpening(SegmentFrame& frame, const Segment& segment,
                        ByteView packet, TimePoint now, Outbox& out) {
  const auto* known = ledger_.Find(segment.flow);
  const bool held = known != nullptr && (known->state == FlowState::kOpening ||
                                         known->state == FlowState::kOpen);
  if (held) {
    // A copy: the upstream answers it again with the same sequence number.
    out.SendToUpstream(ring_.Store(segment.flow, frame), packet);
    TellBalancer(frame, AckStatus::kAccepted, segment, now, out);
    return;
  }
  if (frame.service != service_) {
    Report("pass_on", "other_service", segment.flow, frame);
    PassOn(frame, segment, packet, now, out);
    return;
  }
  if (IsStale(frame, now)) {
    ++stats_.stale_balancer;
    Report("pass_on", "stale_balancer", segment.flow, frame);
    PassOn(frame, segment, packet, now, out);
    return;
  }
  if (!open()) {
    Report("pass_on", stopping_ ? "stopping" : ToString(gate_.state()),
           segment.flow, frame);
    PassOn(frame, segment, packet, now, out);
    return;
  }
  if (frame.forced || load_.HasFreeSlot()) {
    Take(frame, segment, packet, now, out);
    return;
  }
  const auto wait = static_cast<std::uint32_t>(load_.ExpectedWait(now).count());
  if (load_.CanQueue() && wait < frame.best_wait_us) {
    frame.best_wait_us = wait;
    frame.best_place = frame.place;
  }
  PassOn(frame, segment, packet, now, out);
}

void Sidecar::Take(const SegmentFrame& frame, const Segment& segment,
                   ByteView packet, TimePoint now, Outbox& out) {
  ++stats_.taken;
  auto& entry = ledger_.Start(segment.flow, FlowState::kOpening, now);
  entry.expecting = true;
  load_.OnRequestExpected();
  expected_.push_back({segment.flow, now + kFirstRequestTime});
  out.SendToUpstream(ring_.Store(segment.flow, frame), packet);
  if (packet.size() <= UnansweredOpening::kMaxPacket) {
    UnansweredOpening opening;
    opening.flow = segment.flow;
    opening.frame = frame;
    std::copy(packet.begin(), packet.end(), opening.packet.begin());
    opening.packet_size = static_cast<std::uint8_t>(packet.size());
    opening.due = now + kAnswerTimeout;
    watch_.push_back(opening);
  }
  Report("take", frame.forced ? "least_loaded" : "has_room", segment.flow,
         frame);
  TellBalancer(frame, AckStatus::kAccepted, segment, now, out);
}

bool Sidecar::Holds(FlowEntry& entry, const Segment& segment) const {
  switch (entry.state) {
    case FlowState::kOpen:
    case FlowState::kEnded:
      return true;
    case FlowState::kElsewhere:
      return false;
    case FlowState::kOpening:
      // Another upstream may have answered a copy first; the caller's packet
      // acknowledges the one it chose.
      if (!entry.answered) return false;
      return segment.ack - entry.upstream_seq < kOpeningWindow;
  }
  return false;
}

void Sidecar::OnContinuing(SegmentFrame& frame, const Segment& segment,
                           ByteView packet, TimePoint now, Outbox& out) {
  auto* entry = ledger_.Find(segment.flow);
  if (entry != nullptr && Holds(*entry, segment)) {
    if (presence_.absent()) {
      ResetLost(*entry, "upstream_absent", segment, now, out);
      return;
    }
    if (entry->state == FlowState::kOpening) entry->state = FlowState::kOpen;
    Deliver(*entry, frame, segment, packet, now, out);
    return;
  }
  if (entry == nullptr && MayHoldUnknown(now)) {
    const bool askable = !frame.other_service && frame.asked < kMaxAsked &&
                         gate_.state() != UpstreamStatus::kUnknown;
    if (!askable) {
      frame.inconclusive = true;
    } else {
      ++stats_.asked;
      ++frame.asked;
      Report("ask_upstream", "started_after_flow", segment.flow, frame);
      out.SendToUpstream(ring_.Store(segment.flow, frame), packet);
      TellBalancer(frame, AckStatus::kAccepted, segment, now, out);
      return;
    }
  }
  PassOn(frame, segment, packet, now, out);
}

void Sidecar::Deliver(FlowEntry& entry, const SegmentFrame& frame,
                      const Segment& segment, ByteView packet, TimePoint now,
                      Outbox& out) {
  entry.active = now;
  if (entry.state == FlowState::kOpen) TrackRequest(entry, segment, now);
  if (segment.fin) entry.caller_done = true;
  if (segment.rst || (entry.caller_done && entry.upstream_done)) {
    Forget(entry, now);
    entry.state = FlowState::kEnded;
  }
  out.SendToUpstream(FrameRing::kNoToken, packet);
  if (frame.place > 0 || frame.searched) {
    TellBalancer(frame, AckStatus::kAccepted, segment, now, out);
  }
}

void Sidecar::TrackRequest(FlowEntry& entry, const Segment& segment,
                           TimePoint now) {
  if (segment.length == 0) return;
  const bool is_new =
      !entry.caller_seen ||
      static_cast<std::int32_t>(segment.end_seq() - entry.caller_next) > 0;
  if (!is_new) return;
  entry.caller_seen = true;
  entry.caller_next = segment.end_seq();
  if (entry.awaiting) return;
  if (entry.expecting) {
    entry.expecting = false;
    load_.OnExpectedRequestEnded();
  }
  entry.awaiting = true;
  entry.asked_at = now;
  entry.queued = load_.all_slots_taken();
  load_.OnStarted(now);
}

void Sidecar::EndRequest(FlowEntry& entry, TimePoint now) {
  if (!entry.awaiting) return;
  entry.awaiting = false;
  stats_.request_time.Record(now - entry.asked_at);
  load_.OnResponse(now - entry.asked_at, entry.queued, now);
}

/// Takes back what the flow counts in the load.
void Sidecar::Forget(FlowEntry& entry, TimePoint now) {
  if (entry.expecting) load_.OnExpectedRequestEnded();
  if (entry.awaiting) load_.OnRequestAborted(now);
  entry.expecting = false;
  entry.awaiting = false;
}

void Sidecar::PassOn(SegmentFrame& frame, const Segment& segment,
                     ByteView packet, TimePoint now, Outbox& out) {
  const std::uint8_t next = frame.place + 1;
  if (!frame.forced && next < frame.hop_count) {
    ++stats_.passed;
    TellBalancer(frame, AckStatus::kForwarded, segment, now, out,
                 frame.hops[next]);
    frame.place = next;
    out.SendFrame(frame.hops[next], frame, packet);
    return;
  }
  const bool some_open = frame.best_wait_us != UINT32_MAX;
  if (segment.is_syn() && some_open && !frame.forced) {
    frame.forced = true;
    frame.place = frame.best_place;
    if (frame.hops[frame.place] == self_) {
      Take(frame, segment, packet, now, out);
    } else {
      TellBalancer(frame, AckStatus::kForwarded, segment, now, out,
                   frame.hops[frame.place]);
      out.SendFrame(frame.hops[frame.place], frame, packet);
    }
    return;
  }
  ++stats_.unheld;
  Report("unheld", frame.inconclusive ? "some_unknown" : "list_ended",
         segment.flow, frame);
  TellBalancer(
      frame,
      frame.inconclusive ? AckStatus::kInconclusive : AckStatus::kNotFound,
      segment, now, out);
}

void Sidecar::OnUpstreamPacket(const Segment& segment, ByteView packet,
                               TimePoint now, Outbox& out) {
  ++stats_.to_callers;
  presence_.OnHeard();
  gate_.OnAnswered();
  auto* entry = ledger_.Find(segment.flow);
  if (entry == nullptr || entry->state == FlowState::kElsewhere) {
    // The upstream speaks for it, so it holds it.
    entry = &ledger_.Start(segment.flow, FlowState::kOpen, now);
  }
  entry->active = now;
  if (segment.syn) {
    entry->answered = true;
    entry->upstream_seq = segment.seq;
  }
  if (segment.length > 0) EndRequest(*entry, now);
  if (segment.fin) entry->upstream_done = true;
  if (segment.rst || (entry->caller_done && entry->upstream_done)) {
    Forget(*entry, now);
    entry->state = FlowState::kEnded;
  }
  out.SendToCaller(segment.flow, packet);
}

void Sidecar::OnReturned(std::uint32_t token, const Segment& segment,
                         ByteView packet, TimePoint now, Outbox& out) {
  ++stats_.bounced;
  presence_.OnHeard();
  gate_.OnAnswered();
  auto* entry = ledger_.Find(segment.flow);
  const auto frame = ring_.Find(token, segment.flow);
  if (segment.is_syn()) {
    if (entry != nullptr) {
      Forget(*entry, now);
      ledger_.Erase(segment.flow);
    }
    if (!frame) return;
    auto next = *frame;
    Report("pass_on", "upstream_refused", segment.flow, next);
    PassOn(next, segment, packet, now, out);
    return;
  }
  const bool held = entry != nullptr && (entry->state == FlowState::kOpen ||
                                         entry->state == FlowState::kEnded);
  if (held) {
    // The upstream held it and doesn't any more: it has started anew. The
    // caller's next try needs an upstream that is ready.
    if (!open()) {
      Report("lost_flow", "upstream_not_ready", segment.flow, SegmentFrame{});
      return;
    }
    ResetLost(*entry, "upstream_bounced", segment, now, out);
    return;
  }
  if (entry == nullptr) {
    ledger_.Start(segment.flow, FlowState::kElsewhere, now);
  }
  if (!frame) return;
  auto next = *frame;
  PassOn(next, segment, packet, now, out);
}

/// Tells the caller of a flow that was here that the upstream has lost it.
void Sidecar::ResetLost(FlowEntry& entry, std::string_view reason,
                        const Segment& segment, TimePoint now, Outbox& out) {
  Report("lost_flow", reason, segment.flow, SegmentFrame{});
  if (entry.state == FlowState::kEnded) return;
  Forget(entry, now);
  ++stats_.resets;
  out.SendReset(segment.flow, segment.ack);
}

void Sidecar::OnProbe(InstanceAddress balancer, TimePoint now, Outbox& out) {
  Ack receipt;
  receipt.verdict = AckStatus::kProbeReply;
  DescribeSelf(receipt, now);
  out.SendAck(balancer, receipt);
}

void Sidecar::OnTick(TimePoint now, Outbox& out) {
  presence_.OnTick(now);
  while (!watch_.empty() && now >= watch_.front().due) {
    auto opening = watch_.front();
    watch_.pop_front();
    auto* entry = ledger_.Find(opening.flow);
    if (entry == nullptr || entry->answered ||
        entry->state != FlowState::kOpening) {
      continue;
    }
    ++stats_.unanswered;
    const bool was_open = gate_.open();
    gate_.OnUnanswered();
    if (was_open && !gate_.open()) {
      Report("upstream_silent", "openings_unanswered", opening.flow,
             opening.frame);
    }
    Forget(*entry, now);
    Segment segment;
    segment.flow = opening.flow;
    segment.syn = true;
    Report("pass_on", "unanswered", opening.flow, opening.frame);
    PassOn(opening.frame, segment, opening.bytes(), now, out);
  }
  while (!expected_.empty() && now >= expected_.front().due) {
    auto* entry = ledger_.Find(expected_.front().flow);
    expected_.pop_front();
    if (entry == nullptr || !entry->expecting) continue;
    entry->expecting = false;
    load_.OnExpectedRequestEnded();
  }
  if (now - swept_ < kSweepInterval) return;
  swept_ = now;
  load_.SetWarmup(gate_.report().warmup_left > std::chrono::milliseconds{0});
  ledger_.Expire(now,
                 [&](const FlowKey&, FlowEntry& entry) { Forget(entry, now); });
}

ReportResult Sidecar::OnReport(const UpstreamReport& report, TimePoint now) {
  const auto verdict = gate_.OnReport(report, now);
  if (verdict == ReportResult::kOutdated) return verdict;
  presence_.OnHeard();
  load_.SetSlots(report.slots);
  if (verdict == ReportResult::kNewIncarnation) load_.Reset(now);
  return verdict;
}

void Sidecar::TellBalancer(const SegmentFrame& frame, AckStatus verdict,
                           const Segment& segment, TimePoint now, Outbox& out,
                           InstanceAddress next) {
  Ack receipt;
  receipt.verdict = verdict;
  receipt.syn = segment.is_syn();
  DescribeSelf(receipt, now);
  receipt.flow = segment.flow;
  receipt.caller_ack = segment.ack;
  receipt.next = next;
  out.SendAck(frame.balancer, receipt);
}

void Sidecar::DescribeSelf(Ack& receipt, TimePoint now) {
  receipt.open = open();
  receipt.config = newest_config_;
  receipt.expected_wait_us =
      static_cast<std::uint32_t>(load_.ExpectedWait(now).count());
  receipt.free_slots =
      open() ? static_cast<std::uint16_t>(load_.free_slots()) : 0;
}

void Sidecar::Report(std::string_view what, std::string_view reason,
                     const FlowKey& flow, const SegmentFrame& frame) {
  observer_->OnDecision({what, reason, flow, frame.balancer, frame.config,
                         frame.place, frame.best_wait_us});
}

}  // namespace cowslip::segment
