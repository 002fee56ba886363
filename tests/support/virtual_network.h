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

/// Faults that are applied to the frames between processes, and to views.
struct NetworkFaults {
  double loss = 0;         ///< Probability that a frame is lost.
  double duplication = 0;  ///< Probability that a frame is duplicated.
  Duration min_delay{std::chrono::microseconds(200)};
  Duration max_delay{std::chrono::milliseconds(1)};
  Duration view_lag{};  ///< Upper limit of the delay of a view.
};

/// Runs any number of balancers and sidecars in virtual time, on the real
/// engines. All random choices come from one generator with a seed. The test
/// plays the callers, the upstreams and the membership.
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
  /// with the id, incarnation and slots of the options. The views of other
  /// processes have it after Publish().
  void StartSidecar(engine::SidecarOptions options, double weight = 1.0);

  /// The members in the store. Call Publish() after a change of these, of the
  /// services or of the ticket number.
  std::map<UpstreamId, Upstream>& members() { return members_; }
  std::map<ServiceId, ticket::Service>& services() { return services_; }
  TicketNumber& ticket() { return ticket_; }
  /// Sends a view of the present members and services to all processes.
  void Publish();
  /// Sends it to one process without delay.
  void PublishTo(const Endpoint& process);

  /// Ends a process.
  void Kill(const Endpoint& process);
  /// Stops a process. Frames for it and the latest view are queued.
  void Freeze(const Endpoint& process);
  /// Continues a stopped process. Frames that were queued for more than 500 ms
  /// are dropped.
  void Unfreeze(const Endpoint& process);
  /// Drops all frames between two processes until Heal().
  void Disconnect(const Endpoint& a, const Endpoint& b) {
    disconnected_.insert({a, b});
  }
  void Heal() { disconnected_.clear(); }
  /// @return whether a process has been started and not ended.
  bool IsAlive(const Endpoint& process) const;

  /// Sends a datagram through one balancer.
  void SendFromCaller(const Endpoint& balancer, const FlowKey& flow,
                      Bytes payload);
  /// Sends a datagram from an upstream to its sidecar.
  void SendFromUpstream(UpstreamId id, flow::FlowSlot slot, Bytes payload);

  /// Schedules an action.
  void After(Duration delay, std::function<void()> action);
  /// Advances the time and runs all that is due.
  void RunFor(Duration time);

  engine::Balancer& balancer(const Endpoint& at);
  engine::Sidecar& sidecar(UpstreamId id);
  /// Calls an action with the engine of a process and executes the effects. If
  /// the process has ended, does nothing.
  void WithSidecar(UpstreamId id,
                   const std::function<void(engine::Sidecar&,
                                            engine::SidecarEffects&)>& action);
  void WithBalancer(
      const Endpoint& at,
      const std::function<void(engine::Balancer&, engine::BalancerEffects&)>&
          action);
  /// @return the sum of a counter over all processes, ended ones included.
  std::uint64_t Total(engine::Counter counter) const;

  static Endpoint BalancerAt(std::uint32_t id) { return {0x7f140000 + id, 7}; }
  static Endpoint SidecarAt(UpstreamId id) { return {0x7f150000 + Raw(id), 7}; }

  NetworkFaults faults;
  Duration tick{std::chrono::milliseconds(20)};  ///< Interval of OnTick().
  UpstreamHandler on_upstream;  ///< Called when an upstream gets a datagram.
  CloseHandler on_close;        ///< Called when the socket of a flow is closed.
  CallerHandler on_caller;      ///< Called when a caller gets a datagram.
  FrameHandler on_frame;        ///< Called when a frame is sent.

 private:
  struct QueuedFrame {
    engine::SendFrame frame;
    Bytes payload;
    Endpoint from;
    TimePoint arrived;  ///< Delivered, or queued for a stopped process.
  };
  struct Process {
    std::optional<engine::Balancer> balancer;
    std::optional<engine::Sidecar> sidecar;
    UpstreamId id{};          ///< Of a sidecar.
    std::uint64_t epoch = 0;  ///< Of its view.
    bool frozen = false;
    membership::ViewPtr pending_view;  ///< Received while frozen.
    std::deque<QueuedFrame> queue;     ///< Received while frozen.
  };
  using ProcessPtr = std::shared_ptr<Process>;

  void Start(const Endpoint& at, const ProcessPtr& process);
  membership::ViewPtr BuildView();
  void Deliver(const Endpoint& to, const membership::ViewPtr& view);
  void Deliver(const QueuedFrame& queued);
  void Send(const engine::SendFrame& frame, const Endpoint& from);
  void ExecuteEffects(Process& process, const Endpoint& at,
                      engine::BalancerEffects& effects);
  void ExecuteEffects(Process& process, const Endpoint& at,
                      engine::SidecarEffects& effects);
  void Tick(const Endpoint& at, const ProcessPtr& process);
  ProcessPtr Find(const Endpoint& at) const;
  bool DrawBool(double probability);

  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t epoch_ = 0;
  TicketNumber ticket_{1};
  std::map<ServiceId, ticket::Service> services_;
  std::map<UpstreamId, Upstream> members_;
  std::map<Endpoint, ProcessPtr> processes_;
  std::set<std::pair<Endpoint, Endpoint>> disconnected_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::array<std::uint64_t, static_cast<std::size_t>(engine::Counter::kCount)>
      ended_counters_{};
};

}  // namespace cowslip::testing
