#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/coap.h"
#include "cowslip/engine/counters.h"
#include "cowslip/engine/engine_error.h"
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
  std::uint32_t slots = 1;
  permit::PermitKey permit_key{};  ///< Drawn at random for the incarnation.
  std::size_t permit_capacity = 100'000;
  std::size_t redirect_capacity = 200'000;
  std::size_t request_capacity = 20'000;
  Duration slow_start{};
  Duration clock_skew{std::chrono::seconds(1)};
  /// A pause between two events longer than this makes the sidecar refuse new
  /// work until it is confirmed.
  Duration lease{std::chrono::seconds(5)};
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
  void StartDrain() { draining_ = true; }

  bool draining() const { return draining_; }
  std::size_t flow_count() const { return flows_.size(); }
  std::size_t known_balancers() const { return replies_.known_balancers(); }
  std::size_t runs_in_progress() const {
    return runs_.size() + requests_.waiting();
  }
  const Counters& counters() const { return *counters_; }

 private:
  Sidecar(const SidecarOptions& options, flow::FlowTable flows);

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
  void Adopt(const link::Frame& frame, TimePoint now, SidecarEffects& effects);
  void PassOn(const link::Frame& frame, TimePoint now, SidecarEffects& effects);
  void Forward(const link::Frame& frame, const Upstream& to,
               std::uint8_t extra_flags, SidecarEffects& effects);
  void ServeOwned(flow::FlowSlot slot, const link::Frame& frame, TimePoint now,
                  SidecarEffects& effects);
  void AnnounceOwnership(flow::Flow& flow, const link::VisitedList& visited,
                         TimePoint now, SidecarEffects& effects);
  void RefreshRedirects(flow::Flow& flow, TimePoint now,
                        SidecarEffects& effects);
  void ServeGuest(const link::Frame& frame, TimePoint now,
                  SidecarEffects& effects);
  void ExpireFlows(TimePoint now, SidecarEffects& effects);
  void EndFlow(flow::FlowSlot slot, SidecarEffects& effects);

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
           permit::PermitNumber number, TimePoint now, SidecarEffects& effects);
  void Challenge(flow::FlowSlot slot, const coap::Message& request,
                 TimePoint now, SidecarEffects& effects);
  void OnUnpermitted(flow::FlowSlot slot, const coap::Message& request,
                     const link::Frame& frame, TimePoint now,
                     SidecarEffects& effects);
  void FinishRun(const RunTable::Run& run, const coap::Message& outcome,
                 TimePoint now, SidecarEffects& effects);
  void ExpireRuns(TimePoint now, SidecarEffects& effects);
  void FailRuns(flow::FlowSlot slot, SidecarEffects& effects);

  // Idempotent requests: sidecar_idempotent.cc.
  void OnIdempotent(flow::FlowSlot slot, const coap::Message& request,
                    const link::Frame& frame, TimePoint now,
                    SidecarEffects& effects);
  bool MoveIdleFlow(flow::FlowSlot slot, const link::Frame& frame,
                    TimePoint now, SidecarEffects& effects);
  void OnResponse(flow::FlowSlot slot, const coap::Message& response,
                  ByteView payload, TimePoint now, SidecarEffects& effects);
  void EndWork(const flow::Work& work, bool refused, TimePoint now);
  void Retry(const RequestTable::Waiting& request, TimePoint now,
             SidecarEffects& effects);
  void ExpireRequests(TimePoint now);
  void Refuse(flow::FlowSlot slot, const coap::Message& request,
              SidecarEffects& effects);

  // Load: sidecar_load.cc.
  bool HasRoom(const link::Frame& frame, TimePoint now);
  const Upstream* NextForWork(link::FrameHeader& header, TimePoint now);
  bool PassWork(const link::Frame& frame, std::uint8_t extra_flags,
                TimePoint now, SidecarEffects& effects);

  // Frames: sidecar_frames.cc.
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
  permit::PermitIssuer issuer_;
  permit::PermitTable permits_;
  RunTable runs_;
  RequestTable requests_;
  TransferTable transfers_;
  RetryBudget retries_;
  TimePoint refused_until_{};  ///< The upstream is taken for dead until then.
  bool draining_ = false;
  std::unique_ptr<Counters> counters_;
  ReplyPath replies_;
  TimePoint now_{};  ///< Of the latest event.
};

}  // namespace cowslip::engine
