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
/// the queue of the upstream decides.
class RequestDispatcher {
 public:
  /// Most further requests that are reported as capacity.
  static constexpr std::uint32_t kMaxCapacity = 64;

  /// All three have to outlive the dispatcher.
  RequestDispatcher(FlowStateTable& flows, SidecarStats& stats,
                    Observer& observer)
      : flows_(&flows), stats_(&stats), observer_(&observer) {}

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

  /// @return how many further requests would be answered before their time
  /// limit; free slots if no time limit is known.
  std::uint32_t Capacity(TimePoint now) const;
  std::chrono::microseconds ExpectedWait(TimePoint now,
                                         const Endpoint& service) const {
    return load_.ExpectedWait(now, service);
  }
  const LoadEstimator& load() const { return load_; }
  /// @return requests that wait for a slot.
  const ResponseMonitor& responses() const { return responses_; }
  std::size_t waiting() const { return scheduler_.waiting(); }
  /// @return number of restarts of the upstream that this process has seen.
  std::uint32_t upstream_restarts() const { return upstream_restarts_; }

 private:
  /// A flow whose first request has not arrived yet.
  struct ExpectedRequest {
    FlowKey flow;
    TimePoint due;  ///< When it no longer counts as load.
  };

  /// @return whether requests wait here: a flow with a class may be open.
  bool IsActive(TimePoint now) const {
    return last_classified_ && now - *last_classified_ < kMaxFlowAge;
  }
  void NoteClass(const scheduling::RequestTerms& terms, TimePoint now);
  /// Handles a packet with data. @return whether it is sent to the upstream.
  bool PassesData(FlowEntry& entry, const SegmentFrame& frame,
                  const Segment& segment, ByteView packet, TimePoint now,
                  Outbox& out);
  bool PassesNewRequest(FlowEntry& entry, const Segment& segment,
                        ByteView packet, TimePoint now);
  SynDecision DecideAlone(const SegmentFrame& frame, const Segment& syn,
                          TimePoint now) const;
  void OnStarted(const FlowKey& flow, FlowEntry* entry,
                 const scheduling::RequestTerms& terms, Duration waited,
                 TimePoint now);
  void EndAnnouncement(const FlowKey& flow, FlowEntry& entry);
  void Send(const scheduling::ReadyRequest& ready, TimePoint now, Outbox& out);
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
