#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/engine.h"
#include "cowslip/membership.h"

namespace cowslip::testing {

/// Faults of every frame between two processes.
struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  Duration min_delay{std::chrono::microseconds(200)};
  Duration max_delay{std::chrono::milliseconds(1)};
  Duration view_lag{};  ///< Upper limit of the time that a view travels.
};

/// Runs many balancers and sidecars of the engine in virtual time, with every
/// choice drawn from one seeded generator. Callers, upstreams and membership
/// are scripted by the test.
class VirtualNetwork {
 public:
  using UpstreamHandler =
      std::function<void(UpstreamId, flow::FlowSlot, ByteView)>;
  using CloseHandler = std::function<void(UpstreamId, flow::FlowSlot)>;
  using CallerHandler = std::function<void(const FlowKey&, ByteView)>;
  using FrameHandler =
      std::function<void(const engine::SendFrame&, const Endpoint& from)>;

  explicit VirtualNetwork(std::uint64_t seed) : random_(seed) {}

  TimePoint now() const { return now_; }
  std::mt19937_64& random() { return random_; }
  /// @return a uniform number below limit, which is at least 1.
  std::uint64_t Draw(std::uint64_t limit) { return random_() % limit; }
  Duration DrawDuration(Duration low, Duration high);

  void AddBalancer(engine::BalancerOptions options);
  /// Starts a sidecar, or a new incarnation of it, and adds it to the members
  /// with the options' id, incarnation and slots. Publish() makes it known.
  void StartSidecar(engine::SidecarOptions options, double weight = 1.0);

  /// The members as the store has them; change them, then Publish().
  std::map<UpstreamId, Upstream>& members() { return members_; }
  std::map<ServiceId, ticket::Service>& services() { return services_; }
  TicketNumber& ticket() { return ticket_; }
  /// Sends the present members and services to all processes as a view.
  void Publish();
  /// Sends them to one process at once.
  void PublishTo(const Endpoint& process);

  void Kill(const Endpoint& process);
  void Freeze(const Endpoint& process);
  /// Ends a freeze; frames that have queued for too long are dropped.
  void Unfreeze(const Endpoint& process);
  void Disconnect(const Endpoint& a, const Endpoint& b) {
    cuts_.insert({a, b});
  }
  void Heal() { cuts_.clear(); }
  bool IsAlive(const Endpoint& process) const;

  /// Sends a datagram through one balancer.
  void SendFromCaller(const Endpoint& balancer, const FlowKey& flow,
                      Bytes payload);
  /// Sends a datagram from an upstream to its sidecar.
  void SendFromUpstream(UpstreamId id, flow::FlowSlot slot, Bytes payload);

  /// Runs an action after some time.
  void After(Duration delay, std::function<void()> action);
  void RunFor(Duration time);

  engine::Balancer& balancer(const Endpoint& at);
  engine::Sidecar& sidecar(UpstreamId id);
  /// Calls an engine and carries its effects out.
  void WithSidecar(UpstreamId id,
                   const std::function<void(engine::Sidecar&,
                                            engine::SidecarEffects&)>& action);
  void WithBalancer(
      const Endpoint& at,
      const std::function<void(engine::Balancer&, engine::BalancerEffects&)>&
          action);
  std::uint64_t Total(engine::Counter counter) const;

  static Endpoint BalancerAt(std::uint32_t id) { return {0x7f140000 + id, 7}; }
  static Endpoint SidecarAt(UpstreamId id) { return {0x7f150000 + Raw(id), 7}; }

  NetworkFaults faults;
  Duration tick{std::chrono::milliseconds(20)};
  UpstreamHandler on_upstream;  ///< A datagram reached an upstream.
  CloseHandler on_close;        ///< A flow's upstream socket was closed.
  CallerHandler on_caller;      ///< A datagram reached a caller.
  FrameHandler on_frame;        ///< A frame was sent; for counting hops.

 private:
  struct QueuedFrame {
    engine::SendFrame frame;
    Bytes payload;
    Endpoint from;
    TimePoint arrived;
  };
  struct Process {
    std::optional<engine::Balancer> balancer;
    std::optional<engine::Sidecar> sidecar;
    UpstreamId id{};
    std::uint64_t epoch = 0;
    bool frozen = false;
    membership::ViewPtr waiting_view;
    std::deque<QueuedFrame> queue;
  };
  using ProcessPtr = std::shared_ptr<Process>;

  void Start(const Endpoint& at, const ProcessPtr& process);
  membership::ViewPtr BuildView();
  void Deliver(const Endpoint& to, const membership::ViewPtr& view);
  void Deliver(const QueuedFrame& queued);
  void Send(const engine::SendFrame& frame, const Endpoint& from);
  void CarryOut(Process& process, const Endpoint& at,
                engine::BalancerEffects& effects);
  void CarryOut(Process& process, const Endpoint& at,
                engine::SidecarEffects& effects);
  void Tick(const Endpoint& at, const ProcessPtr& process);
  ProcessPtr Find(const Endpoint& at) const;
  bool Chance(double probability);

  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t epoch_ = 0;
  TicketNumber ticket_{1};
  std::map<ServiceId, ticket::Service> services_;
  std::map<UpstreamId, Upstream> members_;
  std::map<Endpoint, ProcessPtr> processes_;
  std::set<std::pair<Endpoint, Endpoint>> cuts_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::array<std::uint64_t, static_cast<std::size_t>(engine::Counter::kCount)>
      ended_counters_{};
};

}  // namespace cowslip::testing
