#pragma once

#include <memory>
#include <optional>

#include "cowslip/base.h"
#include "cowslip/engine/balancer_effects.h"
#include "cowslip/engine/counters.h"
#include "cowslip/engine/engine_error.h"
#include "cowslip/engine/free_slot_table.h"
#include "cowslip/engine/hello_scheduler.h"
#include "cowslip/flow.h"
#include "cowslip/link.h"
#include "cowslip/membership.h"

namespace cowslip::engine {

/// Configuration of a Balancer.
struct BalancerOptions {
  BalancerId id{};
  Endpoint frames;  ///< Address to which sidecars send replies.
  std::size_t hint_capacity = 1 << 19;  ///< Entries of the hint cache.
  /// When an upstream that does not answer is probed and then skipped.
  flow::FailureDetectorOptions failure_detector{
      std::chrono::milliseconds(100), std::chrono::milliseconds(50), 8,
      /*probe_single_frames=*/true};
};

/// A datagram of a caller, as received on the address of a service.
struct CallerDatagram {
  FlowKey flow;
  ByteView payload;
};

/// Chooses the sidecar to which a balancer forwards each caller datagram, and
/// relays the replies of sidecars to callers.
///
/// Keeps no state that a flow depends on: all balancers with the same view
/// choose the same upstream, and a wrong choice only costs an additional hop
/// between sidecars.
class Balancer {
 public:
  static std::optional<Balancer> Create(const BalancerOptions& options,
                                        LastReason<EngineError>& reason);

  /// Replaces the membership view. Services and upstreams may have changed.
  void OnView(membership::ViewPtr view);
  void OnCallerDatagram(const CallerDatagram& datagram, TimePoint now,
                        BalancerEffects& effects);
  /// Handles a frame from the sidecar at `from`: a reply or an answer to a
  /// probe.
  void OnFrame(const link::Frame& frame, const Endpoint& from, TimePoint now,
               BalancerEffects& effects);
  /// Sends the probes that are due: those of unresponsive upstreams, and the
  /// hello to new sidecars, which add this balancer to their tables. Must be
  /// called every 10 to 100 ms.
  void OnTick(TimePoint now, BalancerEffects& effects);
  /// Requests all sidecars to send their replies through other balancers.
  void StartDrain(BalancerEffects& effects);

  const Counters& counters() const { return *counters_; }
  const membership::View* view() const { return view_.get(); }

 private:
  Balancer(const BalancerOptions& options, flow::HintCache hints);

  /// @param unresponsive receives the unresponsive upstreams that were skipped.
  /// @return the upstream for the flow, or nullptr if the service has none.
  const Upstream* Choose(const membership::ServiceView& service,
                         const FlowKey& key, TimePoint now,
                         link::VisitedList& unresponsive);
  void ProbeIfDue(const membership::ServiceView& service,
                  const Upstream& upstream, TimePoint now,
                  BalancerEffects& effects);
  void SendProbe(const membership::ServiceView& service,
                 const Upstream& upstream, BalancerEffects& effects);
  void OnReply(const link::Frame& frame, const Endpoint& from, TimePoint now,
               BalancerEffects& effects);
  link::FrameHeader MakeHeader(link::FrameKind kind,
                               const membership::ServiceView& service) const;

  BalancerOptions options_;
  membership::ViewPtr view_;
  flow::HintCache hints_;
  FreeSlotTable free_slots_;
  flow::FailureDetector detector_;
  HelloScheduler hellos_;
  std::unique_ptr<Counters> counters_;
};

}  // namespace cowslip::engine
