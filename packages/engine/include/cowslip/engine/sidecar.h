#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/coap.h"
#include "cowslip/engine/counters.h"
#include "cowslip/engine/engine_error.h"
#include "cowslip/engine/guest_list.h"
#include "cowslip/engine/member_role.h"
#include "cowslip/engine/observation_table.h"
#include "cowslip/engine/queue_claims.h"
#include "cowslip/engine/redirect_resend_queue.h"
#include "cowslip/engine/reply_path.h"
#include "cowslip/engine/request_table.h"
#include "cowslip/engine/retry_budget.h"
#include "cowslip/engine/run_table.h"
#include "cowslip/engine/service_time_table.h"
#include "cowslip/engine/sidecar_effects.h"
#include "cowslip/engine/transfer_table.h"
#include "cowslip/flow.h"
#include "cowslip/link.h"
#include "cowslip/membership.h"
#include "cowslip/permit.h"

namespace cowslip::engine {

/// Configuration of a Sidecar.
struct SidecarOptions {
  UpstreamId id{};
  ServiceId service{};
  Incarnation incarnation{};
  TimePoint started{};  ///< Start of the incarnation.
  /// When the claim of the incarnation in the store began; if absent, the time
  /// of the first event is used.
  std::optional<TimePoint> claim_started;
  std::uint32_t slots = 1;  ///< Requests that the upstream runs in parallel.
  permit::PermitKey permit_key{};  ///< Random, new for each incarnation.
  std::size_t permit_capacity = 100'000;
  std::size_t redirect_capacity = 200'000;
  std::size_t request_capacity = 20'000;
  std::size_t observation_capacity = 100'000;
  /// Time after a start during which the number of usable slots rises.
  Duration slow_start{};
  /// Upper limit of the difference of the clocks of two machines.
  Duration clock_skew{std::chrono::seconds(1)};
  /// Upper limit of the time by which the views of two processes differ.
  Duration view_lag{std::chrono::seconds(5)};
  /// When an upstream that does not answer is probed and then skipped.
  flow::FailureDetectorOptions failure_detector{
      std::chrono::milliseconds(100), std::chrono::milliseconds(50), 8};
  /// After a longer pause between two events, the sidecar refuses new work
  /// until the store has confirmed its incarnation.
  Duration lease{std::chrono::seconds(5)};
  bool monitor_neighbours = true;  ///< Probe neighbours and record deaths.
  std::uint64_t seed = 1;          ///< For the choice of the members to query.
};

/// The forwarding logic of a sidecar, beside one upstream. Decides for each
/// datagram whether the upstream serves its flow or which sidecar it is
/// forwarded to, and for each request whether it may run.
class Sidecar {
 public:
  static std::optional<Sidecar> Create(const SidecarOptions& options,
                                       LastReason<EngineError>& reason);

  /// Replaces the membership view. Services and upstreams may have changed.
  void OnView(membership::ViewPtr view, TimePoint now, SidecarEffects& effects);
  /// Handles a frame from the balancer or sidecar at `from`.
  void OnFrame(const link::Frame& frame, const Endpoint& from, TimePoint now,
               SidecarEffects& effects);
  /// Handles a datagram that the upstream sent on the socket of a flow.
  void OnUpstreamDatagram(flow::FlowSlot slot, ByteView payload, TimePoint now,
                          SidecarEffects& effects);
  /// Handles the refusal of a datagram of the flow: no process listens on the
  /// port of the upstream.
  void OnUpstreamRefused(flow::FlowSlot slot, TimePoint now,
                         SidecarEffects& effects);
  /// Sends what is due and removes what has expired. Must be called every 10 to
  /// 100 ms.
  void OnTick(TimePoint now, SidecarEffects& effects);
  /// Stops accepting flows. Existing flows are served until they end, and
  /// observations are handed over to other sidecars.
  void StartDrain(SidecarEffects& effects);

  // Membership: sidecar_members.cc.
  /// The store confirms that this incarnation is the current one and alive.
  void OnLeaseConfirmed(membership::LeaseCheckId check_id, TimePoint now);
  /// Another process has claimed the id: no new work is accepted from now on.
  void OnSuperseded();
  /// Continues as a new incarnation, after the death of the old one was
  /// recorded. Ends all flows, runs and permits of the old one.
  void BeginIncarnation(Incarnation incarnation, const permit::PermitKey& key,
                        TimePoint now, SidecarEffects& effects);
  /// Result of an effect in SidecarEffects::deaths.
  void OnDeathRecorded(const membership::RecordDeath& record,
                       membership::RecordOutcome outcome, TimePoint now);
  /// Result of SidecarEffects::upstream_probe.
  /// @param refused whether the port refused it; false for any answer.
  void OnUpstreamProbed(bool refused, TimePoint now);
  /// Result of a query of the upstream's health endpoint.
  void OnHealthReport(bool healthy, TimePoint now);
  membership::LeaseState lease() const { return membership_.lease(); }
  bool upstream_down() const { return membership_.upstream_down(); }
  Incarnation incarnation() const { return options_.incarnation; }

  bool draining() const { return draining_; }
  /// @return whether this upstream is the owner of the flow.
  bool Owns(const FlowKey& key) const;
  std::size_t flow_count() const { return flows_.size(); }
  std::size_t known_balancers() const { return replies_.known_balancers(); }
  /// @return the number of requests without a response.
  std::size_t runs_in_progress() const {
    return runs_.size() + requests_.pending_count();
  }
  const flow::AdmissionController& admission() const { return admission_; }
  const Counters& counters() const { return *counters_; }

 private:
  Sidecar(const SidecarOptions& options, flow::FlowTable flows);

  static MembershipAgent MakeMembershipAgent(const SidecarOptions& options);
  bool AcceptsNewWork() const;
  void OnMembershipFrame(const link::FrameHeader& header, const Endpoint& from,
                         TimePoint now, SidecarEffects& effects);

  // Flows: sidecar_flows.cc.
  void OnCallerData(const link::Frame& frame, const Endpoint& from,
                    TimePoint now, SidecarEffects& effects);
  bool IsForThisService(const link::FrameHeader& header) const;
  void RejectWrongService(const link::FrameHeader& header, const Endpoint& from,
                          SidecarEffects& effects);
  void OnUnknownFlow(const link::Frame& frame, TimePoint now,
                     SidecarEffects& effects);
  bool ForwardByRedirect(const link::Frame& frame, TimePoint now,
                         SidecarEffects& effects);
  bool ContinueLookup(const link::Frame& frame, TimePoint now,
                      SidecarEffects& effects);
  void AssignUnownedFlow(const link::Frame& frame, TimePoint now,
                         SidecarEffects& effects);
  bool CanAcceptFlow(TimePoint now);
  bool IsAtFlowLimit() const;
  void AcceptFlow(const link::Frame& frame, TimePoint now,
                  SidecarEffects& effects);
  void OffloadOrAccept(const link::Frame& frame, TimePoint now,
                       SidecarEffects& effects);
  void Forward(const link::Frame& frame, const Upstream& to,
               std::uint8_t extra_flags, SidecarEffects& effects);
  void SendProbe(const Upstream& to, SidecarEffects& effects);
  void ProbeSuspects(SidecarEffects& effects);
  void ServeFlow(flow::FlowSlot slot, const link::Frame& frame, TimePoint now,
                 SidecarEffects& effects);
  void ServeDelegated(const link::Frame& frame, TimePoint now,
                      SidecarEffects& effects);
  void ExpireDelegatedFlows(TimePoint now, SidecarEffects& effects);
  std::optional<flow::FlowSlot> TakeOwnership(const FlowKey& key,
                                              TimePoint now);
  const Upstream* FirstVisitedCandidate(const link::FrameHeader& header);
  void ExpireFlows(TimePoint now, SidecarEffects& effects);
  void EndFlow(flow::FlowSlot slot, SidecarEffects& effects);

  // Ownership: sidecar_ownership.cc.
  link::FrameHeader MakeRedirect(const flow::Flow& flow) const;
  void SendRedirect(const flow::Flow& flow, const Endpoint& to,
                    SidecarEffects& effects);
  void AnnounceOwnership(const flow::Flow& flow,
                         const link::FrameHeader& header,
                         SidecarEffects& effects);
  void RefreshRedirects(flow::Flow& flow, SidecarEffects& effects);
  void ResendRedirects(SidecarEffects& effects);
  void UpdateMembersEpoch(const membership::ServiceView* old_service);
  void OnRedirect(const link::Frame& frame, const Endpoint& from,
                  SidecarEffects& effects);
  void Arbitrate(flow::FlowSlot slot, const link::Frame& frame,
                 const Endpoint& from, SidecarEffects& effects);
  void Yield(flow::FlowSlot slot, const link::Frame& frame,
             SidecarEffects& effects);

  // Feeds: sidecar_feeds.cc.
  bool TrackCallerMessage(flow::FlowSlot slot, ByteView payload,
                          SidecarEffects& effects);
  bool TrackUpstreamMessage(flow::FlowSlot slot, coap::Message& message,
                            SidecarEffects& effects);
  void RetransmitNotifications(SidecarEffects& effects);
  void AckHandover(const FlowKey& key, const Observation& observation,
                   SidecarEffects& effects);
  void OnHandover(const link::Frame& frame, const Endpoint& from,
                  SidecarEffects& effects);
  void HandOverFeeds(SidecarEffects& effects);
  const Upstream* ChooseSuccessor(const FlowKey& key, std::uint32_t tries);
  void SendHandover(flow::FlowSlot slot, const Feed& feed,
                    Observation& observation, SidecarEffects& effects);
  void OnHandoverAck(const link::Frame& frame, SidecarEffects& effects);

  // Requests: sidecar_requests.cc.
  void OnCallerMessage(flow::FlowSlot slot, ByteView payload,
                       const link::Frame& frame, TimePoint now,
                       SidecarEffects& effects);
  void OnNonIdempotent(flow::FlowSlot slot, coap::Message& request,
                       const link::Frame& frame, TimePoint now,
                       SidecarEffects& effects);
  void OnPermitted(flow::FlowSlot slot, coap::Message& request,
                   const permit::Permit& permit, TimePoint now,
                   SidecarEffects& effects);
  void Run(flow::FlowSlot slot, coap::Message& request,
           const permit::Permit& permit, TimePoint now,
           SidecarEffects& effects);
  void RefuseRun(flow::FlowSlot slot, const coap::Message& request,
                 permit::PermitNumber number, SidecarEffects& effects);
  void Challenge(flow::FlowSlot slot, const coap::Message& request,
                 TimePoint now, SidecarEffects& effects);
  void OnUnpermitted(flow::FlowSlot slot, const coap::Message& request,
                     const link::Frame& frame, TimePoint now,
                     SidecarEffects& effects);
  bool ShouldSuppressAck(flow::FlowSlot slot,
                         const coap::Message& message) const;
  void FinishRun(const RunTable::Run& run, const coap::Message& outcome,
                 TimePoint now, SidecarEffects& effects);
  void ExpireRuns(TimePoint now, SidecarEffects& effects);
  void FailRuns(flow::FlowSlot slot, SidecarEffects& effects);

  // Idempotent requests: sidecar_idempotent.cc.
  void OnIdempotent(flow::FlowSlot slot, const coap::Message& request,
                    const link::Frame& frame, TimePoint now,
                    SidecarEffects& effects);
  bool AdmitIdempotent(flow::FlowSlot slot, const coap::Message& request,
                       bool busy, const link::Frame& frame, TimePoint now,
                       SidecarEffects& effects);
  bool MoveIdleFlow(flow::FlowSlot slot, const link::Frame& frame,
                    TimePoint now, SidecarEffects& effects);
  bool CompleteRequest(flow::FlowSlot slot, const coap::Message& response,
                       TimePoint now, std::optional<RunTable::Run>& run);
  AddResult AddRequest(flow::FlowSlot slot, const coap::Message& request,
                       ByteView datagram);
  void RecordCompletion(const flow::RequestTiming& timing, bool refused,
                        TimePoint now);
  void Retry(const RequestTable::PendingRequest& request, TimePoint now,
             SidecarEffects& effects);
  void ExpireRequests(TimePoint now);
  void ReplyUnavailable(flow::FlowSlot slot, const coap::Message& request,
                        SidecarEffects& effects);

  // Load: sidecar_load.cc.
  std::uint32_t ServiceTime() const;
  bool IsFaster(UpstreamId upstream, UpstreamId than) const;
  const Upstream* FastestUnvisited(const link::FrameHeader& header);
  bool CanOffloadTo(const link::FrameHeader& header, const Upstream& upstream);
  bool HasCapacity(const link::Frame& frame, TimePoint now);
  const Upstream* ChooseOffloadTarget(link::FrameHeader& header, bool delegated,
                                      TimePoint now);
  bool Offload(const link::Frame& frame, std::uint8_t extra_flags,
               TimePoint now, SidecarEffects& effects);

  // Hints on free slots: sidecar_hints.cc.
  link::LeastLoaded FreeSlotReport();
  const Upstream* HintedUpstream(const link::FrameHeader& header);
  bool PrefersHint(const link::FrameHeader& header);

  // Frames: sidecar_frames.cc.
  void ResetRestartedUpstreams(const membership::ServiceView* old_service);
  link::FrameHeader MakeHeader(link::FrameKind kind) const;
  void Reply(flow::FlowSlot slot, ByteView payload, SidecarEffects& effects);
  void SendReply(flow::FlowSlot slot, ByteView payload, bool reliable,
                 SidecarEffects& effects);
  void ReplyMessage(flow::FlowSlot slot, const coap::Message& message,
                    SidecarEffects& effects);
  Duration IdleTimeout() const;
  std::span<const Upstream* const> RankedUpstreams(const FlowKey& key);

  SidecarOptions options_;
  membership::ViewPtr view_;
  const membership::ServiceView* service_ = nullptr;
  flow::FlowTable flows_;
  flow::RedirectTable redirects_;
  flow::AdmissionController admission_;
  flow::Ranking ranking_;
  flow::FailureDetector detector_;
  permit::PermitIssuer issuer_;
  permit::PermitTable permits_;
  RunTable runs_;
  MembershipAgent membership_;
  RequestTable requests_;
  TransferTable transfers_;
  DelegatedFlowQueue delegated_flows_;
  ServiceTimeTable service_times_;
  QueueClaims claims_;
  std::size_t delegated_count_ = 0;
  RetryBudget retry_budget_;
  /// No new work until then, because the upstream refused a datagram.
  TimePoint no_work_until_{};
  bool draining_ = false;
  std::unique_ptr<Counters> counters_;
  ReplySender replies_;
  ObservationTable observations_;
  std::uint64_t last_handover_ = 0;
  RedirectResendQueue resends_;
  std::uint32_t members_epoch_ = 0;  ///< Incremented when the members change.
  TimePoint now_{};                  ///< Time of the latest event.
  Endpoint last_sender_;             ///< Sender of the latest frame.
};

}  // namespace cowslip::engine
