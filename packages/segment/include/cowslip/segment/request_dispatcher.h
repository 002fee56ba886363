#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/scheduling.h"
#include "cowslip/segment/admission.h"
#include "cowslip/segment/flow_knowledge.h"
#include "cowslip/segment/flow_state_table.h"
#include "cowslip/segment/frame.h"
#include "cowslip/segment/load_estimator.h"
#include "cowslip/segment/observer.h"
#include "cowslip/segment/outbox.h"
#include "cowslip/segment/response_monitor.h"
#include "cowslip/segment/segment.h"
#include "cowslip/segment/sidecar_stats.h"
#include "cowslip/segment/upstream_report.h"

namespace cowslip::segment {

/// Gives an upstream the requests of its flows, in the order of
/// scheduling::RequestOrder, and decides whether a further one is accepted.
///
/// Load pattern: more requests than the slots can serve in time. As long as no
/// flow with a priority or a time limit has been seen, packets pass at once and
/// the queue of the upstream decides, unless the upstream warms up and has a
/// limit.
class RequestDispatcher {
 public:
  /// Most further requests that are reported as capacity.
  static constexpr std::uint32_t kMaxCapacity = 64;

  /// The first three have to outlive the dispatcher.
  RequestDispatcher(FlowStateTable& flows, SidecarStats& stats,
                    Observer& observer, const ProcessStart& started)
      : flows_(&flows), stats_(&stats), observer_(&observer) {
    scheduler_.warm_up().OnProcessStarted(started.steady, started.time_of_day);
  }

  /// What a sidecar does with a SYN, and why.
  struct SynDecision {
    Admission admission{};
    /// Expected time from now to the response.
    std::chrono::microseconds answer_time{};
    /// Accept the SYN if the frame says that this sidecar was chosen.
    bool choice_is_final = false;
  };
  /// @param frame shortened if the candidates compare what a long-lived flow
  /// would leave over.
  SynDecision DecideSyn(SegmentFrame& frame, const Segment& syn, TimePoint now);

  /// A frame for the service of the upstream has arrived.
  void OnFrame(const SegmentFrame& frame);
  /// Decides whether the packet of a flow that this process has not seen may be
  /// sent to the upstream, to find out if it owns the flow, and counts it if it
  /// has data, as it is a request then.
  bool ClaimQuery(const Segment& segment, TimePoint now);

  /// A SYN was accepted. @param entry new record of its flow.
  void OnSynAccepted(FlowEntry& entry, const SegmentFrame& frame,
                     const Segment& syn, TimePoint now);
  /// Handles a caller's packet of an owned flow: sends it to the upstream, or
  /// holds it until its request gets a slot.
  void OnCallerPacket(FlowEntry& entry, const SegmentFrame& frame,
                      const Segment& segment, ByteView packet, TimePoint now,
                      Outbox& out);
  /// A packet of the upstream belongs to a flow.
  void OnUpstreamPacket(FlowEntry& entry, const Segment& segment,
                        TimePoint now);
  /// A flow has ended or was lost: drops what is held of it and frees its slot.
  void Release(const FlowKey& flow, FlowEntry& entry, TimePoint now);
  /// Gives free slots to waiting requests. Call after each event that may have
  /// freed one.
  void Dispatch(TimePoint now, Outbox& out);
  void OnTick(TimePoint now, Outbox& out);
  /// The process was suspended. Drops the requests whose time limit has passed.
  void OnResume(TimePoint now);
  /// Handles a report of the upstream.
  /// @param restarted whether it is the first one of a new process.
  void OnReport(const UpstreamReport& report, bool restarted, TimePoint now);
  void SetWarmup(bool warming_up) { load_.SetWarmup(warming_up); }
  /// The upstream has shown that it may be a new process, before its report.
  void OnMayHaveRestarted() { scheduler_.warm_up().OnMayHaveRestarted(); }
  /// The upstream has returned a packet of a flow that it owned.
  void OnFlowLost(const FlowEntry& entry, TimePoint now);
  void OnStoreReturned() { scheduler_.warm_up().OnStoreReturned(); }
  /// Sets how long the machine has been suspended since the process started.
  void SetSuspendedTime(Duration total) {
    scheduler_.warm_up().SetSuspendedTime(total);
  }

  /// @return how many further requests would be answered before their time
  /// limit; free slots if no time limit is known.
  std::uint32_t Capacity(TimePoint now) const;
  std::chrono::microseconds ExpectedWait(TimePoint now,
                                         const Endpoint& service) const;
  const LoadEstimator& load() const { return load_; }
  /// @return requests that wait for a slot.
  const ResponseMonitor& responses() const { return responses_; }
  std::size_t waiting() const { return scheduler_.waiting(); }
  const scheduling::WarmUpLimiter& warm_up() const {
    return scheduler_.warm_up();
  }
  /// @return when Dispatch() is due although nothing happens, std::nullopt if
  /// no request waits only for the limit of an upstream that warms up.
  std::optional<TimePoint> NextDispatch(TimePoint now) const {
    return scheduler_.NextPermitted(now);
  }
  /// @return number of restarts of the upstream that this process has seen.
  std::uint32_t upstream_restarts() const { return upstream_restarts_; }

 private:
  /// A flow whose first request has not arrived yet.
  struct ExpectedRequest {
    FlowKey flow;
    TimePoint due;  ///< When it no longer counts as load.
  };

  /// @return whether requests wait here: a flow with a class may be open, or
  /// the upstream has a limit while it warms up. After that, those that wait
  /// come first, at the pace of the slots.
  bool IsActive(TimePoint now) const {
    const auto& warm_up = scheduler_.warm_up();
    return (last_classified_ && now - *last_classified_ < kMaxFlowAge) ||
           warm_up.IsLimiting(now) ||
           (warm_up.limit().is_limit() && scheduler_.waiting() > 0);
  }
  /// @return the expected time to the response of a further request as far as
  /// the limit of an upstream that warms up is the cause; 0 if it is not.
  std::chrono::microseconds LimitedAnswerTime(TimePoint now) const;
  void NoteClass(const scheduling::RequestTerms& terms, TimePoint now);
  /// Handles a packet with data. @return whether it is sent to the upstream.
  bool PassesData(FlowEntry& entry, const SegmentFrame& frame,
                  const Segment& segment, ByteView packet, TimePoint now,
                  Outbox& out);
  scheduling::PacketOutcome SubmitRequest(FlowEntry& entry,
                                          const Segment& segment,
                                          ByteView packet, TimePoint now);
  SynDecision DecideAlone(const SegmentFrame& frame, const Segment& syn,
                          TimePoint now) const;
  void OnStarted(const FlowKey& flow, FlowEntry* entry,
                 const scheduling::RequestTerms& terms, Duration waited,
                 TimePoint now);
  void EndAnnouncement(const FlowKey& flow, FlowEntry& entry);
  void Send(const scheduling::ReadyRequest& ready, TimePoint now, Outbox& out);
  /// Notes which flows the new process of the upstream has opened before its
  /// first report. Without a limit for its warm-up, they count as lost.
  void AdoptFlows(TimePoint upstream_started);
  void OnDropped(const scheduling::DroppedRequest& dropped,
                 std::string_view reason);
  void DropUnanswerable(TimePoint now);

  FlowStateTable* flows_;
  SidecarStats* stats_;
  Observer* observer_;
  LoadEstimator load_;
  ResponseMonitor responses_;
  scheduling::RequestScheduler scheduler_;
  std::deque<ExpectedRequest> expected_requests_;
  std::uint32_t upstream_restarts_ = 0;
  /// When a flow with a class was last accepted or seen.
  std::optional<TimePoint> last_classified_;
  /// Shortest time limit lately, and when it was seen.
  std::optional<std::chrono::milliseconds> shortest_limit_;
  TimePoint shortest_limit_seen_{};
};

}  // namespace cowslip::segment
