#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "cowslip/base.h"
#include "cowslip/segment/flow_ledger.h"
#include "cowslip/segment/frame.h"
#include "cowslip/segment/frame_ring.h"
#include "cowslip/segment/load_estimator.h"
#include "cowslip/segment/observer.h"
#include "cowslip/segment/opening_watch.h"
#include "cowslip/segment/outbox.h"
#include "cowslip/segment/sidecar_stats.h"
#include "cowslip/segment/upstream_presence.h"
#include "cowslip/segment/upstream_state_tracker.h"

namespace cowslip::segment {

/// Decides what a sidecar does with the packets for and of its upstream.
class Sidecar {
 public:
  Sidecar(InstanceAddress self, ServiceTag service, Observer& observer,
          TimePoint started);

  void SetReportInterval(std::chrono::milliseconds interval) {
    presence_.SetReportInterval(interval);
  }

  /// A caller's packet, from a balancer or passed on by a sidecar.
  void OnFrame(SegmentFrame frame, const Segment& segment, ByteView packet,
               TimePoint now, Outbox& out);
  /// A packet that the upstream sends to a caller.
  void OnUpstreamPacket(const Segment& segment, ByteView packet, TimePoint now,
                        Outbox& out);
  /// A packet of a caller that the upstream returned.
  void OnReturned(std::uint32_t token, const Segment& segment, ByteView packet,
                  TimePoint now, Outbox& out);
  void OnProbe(InstanceAddress balancer, TimePoint now, Outbox& out);
  /// Passes on what the upstream doesn't answer; call it every few
  /// milliseconds.
  void OnTick(TimePoint now, Outbox& out);

  ReportResult OnReport(const UpstreamReport& report, TimePoint now);
  void OnDeregistered(std::string_view id) { gate_.OnDeregistered(id); }
  /// @param has an earlier process of this instance may have placed flows that
  ///     the upstream still holds; true until it is known.
  void SetHasPredecessor(bool has) { has_predecessor_ = has; }
  /// The instance is stopping: no new connections from now on.
  void StopAccepting() { stopping_ = true; }

  bool open() const {
    return gate_.open() && !stopping_ && !presence_.absent();
  }
  /// @return whether there is no upstream, so that no flow can be here.
  bool has_no_upstream() const {
    return presence_.absent() || gate_.state() == UpstreamStatus::kDeregistered;
  }
  const UpstreamStateTracker& gate() const { return gate_; }
  const SidecarStats& stats() const { return stats_; }
  const LoadEstimator& load() const { return load_; }
  std::size_t flows() const { return ledger_.size(); }
  std::uint64_t newest_config() const { return newest_config_; }

 private:
  /// A flow whose first request has not come yet.
  struct ExpectedRequest {
    FlowKey flow;
    TimePoint due;  ///< When it no longer counts in the load.
  };

  void OnOpening(SegmentFrame& frame, const Segment& segment, ByteView packet,
                 TimePoint now, Outbox& out);
  void OnContinuing(SegmentFrame& frame, const Segment& segment,
                    ByteView packet, TimePoint now, Outbox& out);
  void Take(const SegmentFrame& frame, const Segment& segment, ByteView packet,
            TimePoint now, Outbox& out);
  void Deliver(FlowEntry& entry, const SegmentFrame& frame,
               const Segment& segment, ByteView packet, TimePoint now,
               Outbox& out);
  void ResetLost(FlowEntry& entry, std::string_view reason,
                 const Segment& segment, TimePoint now, Outbox& out);
  void PassOn(SegmentFrame& frame, const Segment& segment, ByteView packet,
              TimePoint now, Outbox& out);
  bool Holds(FlowEntry& entry, const Segment& segment) const;
  /// @return whether the upstream may hold flows that this sidecar doesn't
  /// know.
  bool MayHoldUnknown(TimePoint now) const;
  bool IsStale(const SegmentFrame& frame, TimePoint now) const;
  void NoteConfig(std::uint64_t config, TimePoint now);
  void TrackRequest(FlowEntry& entry, const Segment& segment, TimePoint now);
  void EndRequest(FlowEntry& entry, TimePoint now);
  void Forget(FlowEntry& entry, TimePoint now);
  void TellBalancer(const SegmentFrame& frame, AckStatus verdict,
                    const Segment& segment, TimePoint now, Outbox& out,
                    InstanceAddress next = 0);
  void DescribeSelf(Ack& receipt, TimePoint now);
  void Report(std::string_view what, std::string_view reason,
              const FlowKey& flow, const SegmentFrame& frame);

  InstanceAddress self_;
  ServiceTag service_;
  Observer* observer_;
  TimePoint started_;
  bool stopping_ = false;
  bool has_predecessor_ = true;
  std::uint64_t newest_config_ = 0;
  TimePoint config_since_{};
  UpstreamStateTracker gate_;
  UpstreamPresence presence_;
  LoadEstimator load_;
  FlowLedger ledger_;
  FrameRing ring_;
  OpeningWatch watch_;
  std::deque<ExpectedRequest> expected_;
  TimePoint swept_{};
  SidecarStats stats_;
};

}  // namespace cowslip::segment
