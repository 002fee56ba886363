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
#include "cowslip/engine/pace_table.h"
#include "cowslip/engine/redirect_repeats.h"
#include "cowslip/engine/reply_path.h"
#include "cowslip/engine/request_table.h"
#include "cowslip/engine/retry_budget.h"
#include "cowslip/engine/run_table.h"
#include "cowslip/engine/sidecar_effects.h"
#include "cowslip/engine/transfer_table.h"
#include "cowslip/flow.h"
#include "cowslip/link.h"
#include "cowslip/membership.h"
#include "cowslip/permit.h"

namespace cowslip::engine {

struct SidecarOptions {
  UpstreamId id{};
  ServiceId service{};
  Incarnation incarnation{};
  TimePoint started{};
  /// When the claim of the incarnation was begun; absent: at the first event.
  std::optional<TimePoint> claim_started;
  std::uint32_t slots = 1;
  permit::PermitKey permit_key{};  ///< Drawn at random for the incarnation.
  std::size_t permit_capacity = 100'000;
  std::size_t redirect_capacity = 200'000;
  std::size_t request_capacity = 20'000;
  std::size_t observation_capacity = 100'000;
  Duration slow_start{};
  Duration clock_skew{std::chrono::seconds(1)};
  /// Longest time by which views of the members differ.
  Duration view_lag{std::chrono::seconds(5)};
  flow::SilenceLimits silence{std::chrono::milliseconds(100),
                              std::chrono::milliseconds(50), 8};
  /// A pause between two events longer than this makes the sidecar refuse new
  /// work until it is confirmed.
  Duration lease{std::chrono::seconds(5)};
  bool monitor_neighbours = true;  ///< Probe neighbours and record deaths.
  std::uint64_t seed = 1;          ///< Of the choice of witnesses.
};

/// Decides what a sidecar does with each datagram: which flows its upstream
/// serves, which it forwards along the walk, and which requests may run.
class Sidecar {
 public:
  static std::optional<Sidecar> Create(const SidecarOptions& options,
                                       LastReason<EngineError>& reason);

  void OnView(membership::ViewPtr view, TimePoint now, SidecarEffects& effects);
  void OnFrame(const link::Frame& frame, const Endpoint& from, TimePoint now,
               SidecarEffects& effects);
  void OnUpstreamDatagram(flow::FlowSlot slot, ByteView payload, TimePoint now,
                          SidecarEffects& effects);
  /// The upstream refused a datagram of the flow: nobody listens there.
  void OnUpstreamRefused(flow::FlowSlot slot, TimePoint now,
                         SidecarEffects& effects);
  /// Call it every 10 to 100 ms.
  void OnTick(TimePoint now, SidecarEffects& effects);
  /// Stops adopting flows; those that live go on until they end.
  void StartDrain(SidecarEffects& effects);

  // Membership: sidecar_members.cc.
  /// The store was asked again and names this incarnation, alive.
  void OnLeaseConfirmed(membership::LeaseCheckId question, TimePoint now);
  /// Another process has taken the id: nothing new from now on.
  void OnSuperseded();
  /// Goes on under a new incarnation, after the death of the old one was
  /// recorded. Flows, runs and permits of the old one end.
  void BeginIncarnation(Incarnation incarnation, const permit::PermitKey& key,
                        TimePoint now, SidecarEffects& effects);
  void OnDeathRecorded(const membership::RecordDeath& record,
                       membership::RecordOutcome outcome, TimePoint now);
  /// Outcome of SidecarEffects::upstream_probe: any answer, or a refusal.
  void OnUpstreamProbed(bool refused, TimePoint now);
  /// What the health endpoint of the upstream says.
  void OnHealthReport(bool healthy, TimePoint now);
  membership::LeaseState lease() const { return members_.lease(); }
  bool upstream_down() const { return members_.upstream_down(); }
  Incarnation incarnation() const { return options_.incarnation; }

  bool draining() const { return draining_; }
  bool Owns(const FlowKey& key) const;
  std::size_t flow_count() const { return flows_.size(); }
  std::size_t known_balancers() const { return replies_.known_balancers(); }
  std::size_t runs_in_progress() const {
    return runs_.size() + requests_.waiting();
  }
  const flow::Admission& admission() const { return admission_; }
  const Counters& counters() const { return *counters_; }

 private:
  Sidecar(const SidecarOptions& options, flow::FlowTable flows);

  static MemberRole MakeRole(const SidecarOptions& options);
  bool AdmitsWork() const;
  void OnMemberFrame(const link::FrameHeader& header, const Endpoint& from,
                     TimePoint now, SidecarEffects& effects);

  // Flows: sidecar_flows.cc.
  void OnCallerData(const link::Frame& frame, const Endpoint& from,
                    TimePoint now, SidecarEffects& effects);
  bool IsForThisService(const link::FrameHeader& header) const;
  void RefuseWrongService(const link::FrameHeader& header, const Endpoint& from,
                          SidecarEffects& effects);
  void OnUnknownFlow(const link::Frame& frame, TimePoint now,
                     SidecarEffects& effects);
  bool ForwardByRedirect(const link::Frame& frame, TimePoint now,
                         SidecarEffects& effects);
  bool ContinueWalk(const link::Frame& frame, TimePoint now,
                    SidecarEffects& effects);
  void Settle(const link::Frame& frame, TimePoint now, SidecarEffects& effects);
  bool CanAdopt(TimePoint now);
  bool IsFull() const;
  void Adopt(const link::Frame& frame, TimePoint now, SidecarEffects& effects);
  void PassOn(const link::Frame& frame, TimePoint now, SidecarEffects& effects);
  void Forward(const link::Frame& frame, const Upstream& to,
               std::uint8_t extra_flags, SidecarEffects& effects);
  void SendProbe(const Upstream& to, SidecarEffects& effects);
  void ProbeSuspects(SidecarEffects& effects);
  void ServeOwned(flow::FlowSlot slot, const link::Frame& frame, TimePoint now,
                  SidecarEffects& effects);
  void ServeGuest(const link::Frame& frame, TimePoint now,
                  SidecarEffects& effects);
  void ExpireGuests(TimePoint now, SidecarEffects& effects);
  std::optional<flow::FlowSlot> Own(const FlowKey& key, TimePoint now);
  const Upstream* FirstToAdopt(const link::FrameHeader& header);
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
  void RepeatRedirects(SidecarEffects& effects);
  void NoteMembers(const membership::ServiceView* before);
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
  void RepeatNotifications(SidecarEffects& effects);
  void AckHandover(const FlowKey& key, const Observation& observation,
                   SidecarEffects& effects);
  void OnHandover(const link::Frame& frame, const Endpoint& from,
                  SidecarEffects& effects);
  void HandOverFeeds(SidecarEffects& effects);
  const Upstream* Successor(const FlowKey& key, std::uint32_t tries);
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
  bool HoldsBack(flow::FlowSlot slot, const coap::Message& message) const;
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
  bool ExpectsResponse(flow::FlowSlot slot, const coap::Message& response,
                       TimePoint now, std::optional<RunTable::Run>& run);
  RequestAdded NoteRequest(flow::FlowSlot slot, const coap::Message& request,
                           ByteView datagram);
  void EndWork(const flow::Work& work, bool refused, TimePoint now);
  void Retry(const RequestTable::Waiting& request, TimePoint now,
             SidecarEffects& effects);
  void ExpireRequests(TimePoint now);
  void Refuse(flow::FlowSlot slot, const coap::Message& request,
              SidecarEffects& effects);

  // Load: sidecar_load.cc.
  std::uint32_t ServiceTime() const;
  bool IsFaster(UpstreamId upstream, UpstreamId than) const;
  const Upstream* FastestUnvisited(const link::FrameHeader& header);
  bool HasRoom(const link::Frame& frame, TimePoint now);
  const Upstream* NextForWork(link::FrameHeader& header, bool guest,
                              TimePoint now);
  bool PassWork(const link::Frame& frame, std::uint8_t extra_flags,
                TimePoint now, SidecarEffects& effects);

  // Frames: sidecar_frames.cc.
  void ForgetRestarted(const membership::ServiceView* before);
  link::FrameHeader MakeHeader(link::FrameKind kind) const;
  void Reply(flow::FlowSlot slot, ByteView payload, SidecarEffects& effects);
  void SendReply(flow::FlowSlot slot, ByteView payload, bool matters,
                 SidecarEffects& effects);
  void ReplyMessage(flow::FlowSlot slot, const coap::Message& message,
                    SidecarEffects& effects);
  Duration IdleTimeout() const;
  std::span<const Upstream* const> RankedFor(const FlowKey& key);

  SidecarOptions options_;
  membership::ViewPtr view_;
  const membership::ServiceView* service_ = nullptr;
  flow::FlowTable flows_;
  flow::RedirectTable redirects_;
  flow::Admission admission_;
  flow::Ranking ranking_;
  flow::ContactTable contacts_;
  permit::PermitIssuer issuer_;
  permit::PermitTable permits_;
  RunTable runs_;
  MemberRole members_;
  RequestTable requests_;
  TransferTable transfers_;
  GuestList guests_;
  PaceTable paces_;
  std::size_t guest_count_ = 0;
  RetryBudget retries_;
  TimePoint refused_until_{};  ///< The upstream is taken for dead until then.
  bool draining_ = false;
  std::unique_ptr<Counters> counters_;
  ReplyPath replies_;
  ObservationTable observations_;
  std::uint64_t last_handover_ = 0;
  RedirectRepeats repeats_;
  std::uint32_t members_epoch_ = 0;  ///< Rises when the members change.
  TimePoint now_{};                  ///< Of the latest event.
  Endpoint from_;                    ///< Sender of the latest frame.
};

}  // namespace cowslip::engine
