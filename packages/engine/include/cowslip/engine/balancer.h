#pragma once

#include <memory>
#include <optional>

#include "cowslip/base.h"
#include "cowslip/engine/balancer_effects.h"
#include "cowslip/engine/counters.h"
#include "cowslip/engine/engine_error.h"
#include "cowslip/engine/greetings.h"
#include "cowslip/flow.h"
#include "cowslip/link.h"
#include "cowslip/membership.h"

namespace cowslip::engine {

struct BalancerOptions {
  BalancerId id{};
  Endpoint frames;  ///< Where sidecars send replies.
  std::size_t hint_capacity = 1 << 19;
  flow::SilenceLimits silence{std::chrono::milliseconds(100),
                              std::chrono::milliseconds(50), 8};
};

/// A caller's datagram as it arrived on a service's address.
struct CallerDatagram {
  FlowKey flow;
  ByteView payload;
};

/// Decides where a balancer sends each datagram.
///
/// Holds nothing that a flow needs: any balancer with the same view makes the
/// same choice, and a wrong one costs a hop between sidecars.
class Balancer {
 public:
  static std::optional<Balancer> Create(const BalancerOptions& options,
                                        LastReason<EngineError>& reason);

  /// Replaces the view; services and upstreams may have changed.
  void OnView(membership::ViewPtr view);
  void OnCallerDatagram(const CallerDatagram& datagram, TimePoint now,
                        BalancerEffects& effects);
  void OnFrame(const link::Frame& frame, const Endpoint& from, TimePoint now,
               BalancerEffects& effects);
  /// Greets sidecars that are new. Call it every 10 to 100 ms.
  void OnTick(TimePoint now, BalancerEffects& effects);
  /// Tells every sidecar that replies should take another balancer.
  void StartDrain(BalancerEffects& effects);

  const Counters& counters() const { return *counters_; }
  const membership::View* view() const { return view_.get(); }

 private:
  Balancer(const BalancerOptions& options, flow::HintCache hints);

  const Upstream* Choose(const membership::ServiceView& service,
                         const FlowKey& key, TimePoint now,
                         link::VisitedList& silent);
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
  flow::ContactTable contacts_;
  Greetings greetings_;
  std::unique_ptr<Counters> counters_;
};

}  // namespace cowslip::engine
