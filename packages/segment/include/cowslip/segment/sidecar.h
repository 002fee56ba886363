#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "cowslip/base.h"
#include "cowslip/segment/admission.h"
#include "cowslip/segment/data_center_status.h"
#include "cowslip/segment/flow_knowledge.h"
#include "cowslip/segment/flow_state_table.h"
#include "cowslip/segment/frame.h"
#include "cowslip/segment/frame_ring.h"
#include "cowslip/segment/observer.h"
#include "cowslip/segment/outbox.h"
#include "cowslip/segment/pending_query.h"
#include "cowslip/segment/pending_syn_queue.h"
#include "cowslip/segment/request_dispatcher.h"
#include "cowslip/segment/sidecar_stats.h"
#include "cowslip/segment/upstream_gate.h"
#include "cowslip/segment/upstream_presence.h"

namespace cowslip::segment {

/// Forwarding logic of a sidecar: accepts or forwards caller packets for its
/// upstream, and sends the upstream's packets to the callers.
class Sidecar {
 public:
  Sidecar(InstanceAddress self, ServiceTag service, Observer& observer,
          const ProcessStart& started);
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  /// Sets the interval at which the upstream sends its reports.
  void SetReportInterval(std::chrono::milliseconds interval) {
    presence_.SetReportInterval(interval);
    unseen_flows_.SetReportInterval(interval);
  }

  /// Handles a caller packet that a balancer or another sidecar sent.
  void OnFrame(SegmentFrame frame, const Segment& segment, ByteView packet,
               TimePoint now, Outbox& out);
  /// Handles a packet from the upstream to a caller.
  void OnUpstreamPacket(const Segment& segment, ByteView packet, TimePoint now,
                        Outbox& out);
  /// Handles a caller packet that the upstream returned because it doesn't own
  /// the flow or refuses the connection.
  void OnReturned(std::uint32_t token, const Segment& segment, ByteView packet,
                  TimePoint now, Outbox& out);
  /// Answers the probe of a balancer that found this sidecar unresponsive.
  void OnProbe(InstanceAddress balancer, TimePoint now, Outbox& out);
  /// Handles a datagram of a balancer other than a frame: a probe or an owner
  /// query. Ignores other ones.
  /// @param backlog whether it waited through a suspension. Queries are dropped
  /// then, as their lookups have ended.
  void OnControlDatagram(InstanceAddress balancer, ByteView datagram,
                         bool backlog, TimePoint now, Outbox& out);
  /// Answers a balancer that asks which flows the upstream owns.
  void OnOwnerQuery(InstanceAddress balancer, const OwnerQuery& query,
                    TimePoint now, Outbox& out);
  /// Forwards SYNs that the upstream has not answered in time. Call every few
  /// milliseconds.
  void OnTick(TimePoint now, Outbox& out);
  /// The process was suspended. Drops the SYNs that wait for an answer of the
  /// upstream: it may have answered, and their callers have given up.
  void OnResume(TimePoint now);
  /// Handles a frame that waited in the socket through a suspension; drops it
  /// if it carries a SYN, which its caller has sent again or given up.
  void OnBacklogFrame(const SegmentFrame& frame, const Segment& segment,
                      ByteView packet, TimePoint now, Outbox& out);

  /// Sets how long the machine has been suspended since the process started,
  /// which the steady clock does not count. Call before each event.
  void SetSuspendedTime(Duration total) { requests_.SetSuspendedTime(total); }
  /// @return when Dispatch() is due, std::nullopt if it is not.
  std::optional<TimePoint> NextDispatch(TimePoint now) const {
    return requests_.NextDispatch(now);
  }
  /// Gives the upstream the requests that its limit permits now.
  void Dispatch(TimePoint now, Outbox& out) { requests_.Dispatch(now, out); }

  /// Handles a status report of the upstream.
  ReportResult OnReport(const UpstreamReport& report, TimePoint now);
  /// An upstream process has deregistered, see UpstreamStateTracker.
  bool OnDeregistered(std::string_view id,
                      std::optional<std::chrono::milliseconds> started_at) {
    return upstream_state_.OnDeregistered(id, started_at);
  }
  /// The store has come back from an older copy: the newest configuration seen
  /// may be lost. Balancers with an older one count as outdated only once some
  /// balancer is seen to use it again.
  void OnStoreReturned() {
    newest_config_in_use_ = false;
    requests_.OnStoreReturned();
  }
  /// Stops accepting new connections, as the instance is stopping.
  void StopAccepting() { stopping_ = true; }

  /// Sets what is known of the evacuation of the own data centre. Without it,
  /// the data centre counts as open.
  void SetDataCenterStatus(DataCenterStatus status) { data_center_ = status; }

  /// @return whether this sidecar is published as one that accepts new
  /// connections. Right after a suspension it is, although it doesn't accept
  /// any yet: balancers need not change their lists for a few milliseconds.
  bool open() const {
    return upstream_ready() && (data_center_ == DataCenterStatus::kOpen ||
                                data_center_ == DataCenterStatus::kUnconfirmed);
  }
  /// @return whether the upstream takes new connections.
  bool upstream_ready() const {
    return upstream_state_.open() && !stopping_ && !presence_.is_silent();
  }
  /// @return whether there is no upstream, so that no flow can be owned here.
  bool has_no_upstream() const {
    return presence_.is_absent() ||
           upstream_state_.state() == Lifecycle::kDeregistered;
  }
  /// @return whether it is not known yet if there is an upstream.
  bool awaits_upstream() const {
    return upstream_state_.state() == Lifecycle::kUnknown && !has_no_upstream();
  }
  /// @return whether the upstream may own flows that this process hasn't seen.
  bool MayHaveUnseenFlows(TimePoint now) const {
    return unseen_flows_.MayExist(now);
  }
  const UpstreamStateTracker& gate() const { return upstream_state_; }
  /// Whether there is an upstream process. The caller looks up its socket.
  UpstreamPresence& presence() { return presence_; }
  const UpstreamPresence& presence() const { return presence_; }
  const SidecarStats& stats() const { return stats_; }
  const LoadEstimator& load() const { return requests_.load(); }
  const ResponseMonitor& responses() const { return requests_.responses(); }
  /// @return requests that wait for a slot of the upstream.
  std::size_t requests_waiting() const { return requests_.waiting(); }
  /// @return the limit of the upstream while it warms up.
  const scheduling::WarmUpLimiter& warm_up() const {
    return requests_.warm_up();
  }
  /// @return whether a request is in progress or waits.
  bool has_requests() const {
    return load().in_progress() > 0 || requests_waiting() > 0;
  }
  std::size_t flows() const { return flows_.size(); }
  /// @return the newest configuration that balancers are known to use, 0 if
  ///     none has used the newest one since the store came back.
  std::uint64_t config_in_use() const {
    return newest_config_in_use_ ? newest_config_ : 0;
  }

 private:
  void HandleSyn(SegmentFrame& frame, const Segment& segment, ByteView packet,
                 TimePoint now, Outbox& out);
  void HandleExistingFlow(SegmentFrame& frame, const Segment& segment,
                          ByteView packet, TimePoint now, Outbox& out);
  void Accept(const SegmentFrame& frame, const Segment& segment,
              ByteView packet, TimePoint now, Outbox& out);
  /// Sends a packet of an owned flow to the upstream.
  void Deliver(FlowEntry& entry, const SegmentFrame& frame,
               const Segment& segment, ByteView packet, TimePoint now,
               Outbox& out);
  void ResetLostFlow(FlowEntry& entry, std::string_view reason,
                     const Segment& segment, TimePoint now, Outbox& out);
  /// Sends a frame to the next candidate. At the end of the list, offers a SYN
  /// to the candidate with the least expected wait, or reports to the balancer
  /// that the flow was not found or not accepted.
  void Forward(SegmentFrame& frame, const Segment& segment, ByteView packet,
               TimePoint now, Outbox& out);
  /// Sends a packet of a flow whose owner is unknown to the upstream, which
  /// returns it unless it owns the flow.
  void QueryUpstream(SegmentFrame& frame, const Segment& segment,
                     ByteView packet, TimePoint now, Outbox& out);
  /// Ends the queries that the upstream has had the time to answer.
  void EndQueries(TimePoint now, Outbox& out);
  /// @param entry of the flow, nullptr if there is none.
  /// @return whether the upstream owns the flow of a caller's packet.
  Ownership OwnershipOf(const FlowEntry* entry, const Segment& segment,
                        TimePoint now) const;
  /// @return whether the upstream is known to run.
  bool UpstreamIsAlive() const {
    const auto state = upstream_state_.state();
    return !presence_.is_silent() &&
           (state == Lifecycle::kAccepting || state == Lifecycle::kDraining);
  }
  /// @return whether the upstream may own flows that are missing from the flow
  /// table.
  bool UpstreamMayOwnUnseenFlows(TimePoint now) const;
  /// @return whether the balancer's configuration is too old for its SYNs to be
  /// accepted.
  bool IsStale(const SegmentFrame& frame, TimePoint now) const;
  void UpdateConfigVersion(std::uint64_t config, TimePoint now);
  /// Starts a record in the flow table, which may have to discard another one.
  FlowEntry& StartRecord(const FlowKey& flow, FlowState state, TimePoint now);
  /// Updates the record of a flow from a packet that the upstream sent.
  void RecordUpstreamPacket(const Segment& segment, TimePoint now);
  /// @return why SYNs are not accepted, for the log.
  std::string_view ClosedReason() const;
  /// Counts a SYN that this sidecar refuses if its data centre is evacuated.
  void CountRefusal(SegmentFrame& frame);
  void Acknowledge(const SegmentFrame& frame, AckStatus status,
                   const Segment& segment, TimePoint now, Outbox& out,
                   InstanceAddress next = 0);
  void FillState(Ack& ack, TimePoint now);
  void LogDecision(std::string_view action, std::string_view reason,
                   const FlowKey& flow, const SegmentFrame& frame);

  InstanceAddress self_;
  ServiceTag service_;
  Observer* observer_;
  UnseenFlows unseen_flows_;
  bool stopping_ = false;
  DataCenterStatus data_center_ = DataCenterStatus::kOpen;
  std::uint64_t newest_config_ = 0;
  TimePoint config_received_{};
  /// Some balancer has used the newest configuration since the store last came
  /// back from a copy.
  bool newest_config_in_use_ = false;
  UpstreamStateTracker upstream_state_;
  UpstreamPresence presence_;
  FlowStateTable flows_;
  FrameRing sent_frames_;
  PendingSynQueue pending_syns_;
  PendingQueryQueue pending_queries_;
  TimePoint last_sweep_{};
  SidecarStats stats_;
  RequestDispatcher requests_;
};

}  // namespace cowslip::segment
