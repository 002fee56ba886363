#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cowslip/segment.h"
#include "segment/fake_caller.h"
#include "segment/fake_upstream.h"

namespace cowslip::segment::test {

/// Simulation of balancers, sidecars, upstreams and callers in virtual time
/// over a network with losses.
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed = 1) : random_(seed) {}

  static InstanceAddress BalancerAddress(int index) { return 1000U + index; }
  static InstanceAddress SidecarAddress(int index) { return 2000U + index; }

  /// @param complete whether it has all members that the store lists.
  void AddBalancer(int index, bool complete = true);
  /// Sets how the upstreams that are added later draw their service times.
  void SetServiceTimes(std::function<std::chrono::milliseconds()> draw) {
    draw_service_time_ = std::move(draw);
  }
  void AddSidecar(int index, const std::string& service,
                  const FakeUpstream::Options& options = {});
  /// @param latency_target of the route, none if 0.
  void SetRoutes(std::uint64_t version, const std::string& service,
                 std::chrono::milliseconds latency_target = {});
  /// Sets the routes of one balancer. A version directly follows the one before
  /// if its number does.
  void SetRoutesOf(int balancer, const std::shared_ptr<RouteTable>& routes);
  /// @return a version with one route, which leads to a service.
  static std::shared_ptr<RouteTable> MakeRoutes(std::uint64_t version,
                                                const std::string& service);
  /// Address that SetRoutes() and MakeRoutes() route.
  static Endpoint ServiceAddress();
  /// Sets the frames that members understand, as a balancer learns it with the
  /// next member lists; SegmentFrame has no request class with version 0.
  void SetFrameVersion(int balancer, std::uint8_t version) {
    frame_versions_[balancer] = version;
  }
  /// Spreads the instances that are added later over data centres by their
  /// index; with one, it is not known.
  void SetDataCenters(int count) { data_centers_ = count; }
  /// Sets what is called with the index of an upstream that receives a request.
  void SetOnReceived(std::function<void(int)> received) {
    received_ = std::move(received);
  }
  /// Upstreams report that they are warming up for this long after a start.
  void SetWarmup(std::chrono::milliseconds time) { warmup_ = time; }
  /// Sets the members of a service at one balancer.
  void UpdateMembers(int balancer, const std::string& service,
                     const std::vector<int>& sidecars);
  void UpdateAllMembers();

  /// Replaces the process of an upstream, which loses all flows.
  void RestartUpstream(int sidecar);
  /// Sends a report of the upstream to its sidecar, now and once per second
  /// afterwards.
  void Report(int sidecar, bool draining = false);
  /// Replaces the process of a sidecar while its upstream keeps running.
  void RestartSidecar(int sidecar);
  /// Drops all datagrams to and from an instance until Heal().
  void Isolate(InstanceAddress instance) { isolated_.insert(instance); }
  void Heal(InstanceAddress instance) { isolated_.erase(instance); }
  /// Sends the packets of callers to this balancer from now on.
  void RouteCallersTo(int balancer) { entry_balancer_ = balancer; }
  /// Spreads the flows of callers over all balancers from now on.
  void SpreadCallers() { entry_balancer_ = kAnyBalancer; }
  /// Limits what an instance sends and receives, in bytes per second each.
  void LimitLink(InstanceAddress instance, double bytes_per_second) {
    links_[instance].bytes_per_second = bytes_per_second;
  }
  /// Stops a balancer's process; its socket keeps what arrives, up to a limit.
  void Suspend(int balancer) { suspended_[balancer]; }
  /// Continues it: the process handles what its socket kept.
  void Resume(int balancer);
  /// Stops a sidecar's process; its sockets keep what arrives, up to a limit.
  void SuspendSidecar(int index) { suspended_sidecars_[index]; }
  void ResumeSidecar(int index);
  void SetLoss(double share) { loss_ = share; }

  FakeCaller& AddCaller() { return AddCaller(ServiceAddress()); }
  /// @param service address that the caller sends to.
  FakeCaller& AddCaller(const Endpoint& service);
  void Run(std::chrono::microseconds time);

  Balancer& balancer(int index) { return *balancers_.at(index); }
  Sidecar& sidecar(int index) { return *sidecars_.at(index)->sidecar; }
  FakeUpstream& upstream(int index) { return *sidecars_.at(index)->upstream; }
  std::vector<std::unique_ptr<FakeCaller>>& callers() { return callers_; }
  /// @return datagrams that balancers and sidecars have sent to each other.
  std::uint64_t datagrams() const { return datagrams_; }
  /// @return bytes of these datagrams, without the headers of UDP and IP.
  std::uint64_t bytes() const { return bytes_; }
  /// The sidecar is of a build that ignores owner queries.
  void UseEarlierBuild(int sidecar) { earlier_builds_.insert(sidecar); }
  /// @return number of resets of flows that a running upstream owned.
  int wrong_resets() const { return wrong_resets_; }
  /// @return the index of the sidecar whose upstream owns a flow, or -1.
  int FindOwner(const FlowKey& flow) const;
  TimePoint now() const { return now_; }
  /// @return how often balancers and sidecars have decided this, for this
  /// reason.
  int decisions(const std::string& action, const std::string& reason) const {
    return observer_.count(action, reason);
  }

 private:
  /// A sidecar and its upstream.
  struct SidecarHost {
    std::string service;
    FakeUpstream::Options options;
    std::unique_ptr<FakeUpstream> upstream;
    std::unique_ptr<Sidecar> sidecar;
    TimePoint upstream_started{};
    std::uint64_t report_count = 0;
    TimePoint last_report{};
    bool draining = false;
  };
  /// A callback at a point of virtual time.
  struct Event {
    TimePoint time;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };
  /// One direction of an instance's link: datagrams leave one after the other.
  struct LinkQueue {
    TimePoint free_at{};
  };
  /// The link of an instance.
  struct Link {
    double bytes_per_second = 0;
    LinkQueue in;
    LinkQueue out;
  };
  /// Counts decisions by action and reason.
  class CountingObserver final : public Observer {
   public:
    void OnDecision(const FlowDecision& decision) override {
      ++counts_[{std::string(decision.action), std::string(decision.reason)}];
    }
    int count(const std::string& action, const std::string& reason) const {
      const auto found = counts_.find({action, reason});
      return found == counts_.end() ? 0 : found->second;
    }

   private:
    std::map<std::pair<std::string, std::string>, int> counts_;
  };

  void After(std::chrono::microseconds delay, std::function<void()> run);
  void Tick();
  /// Advances the owner lookups of a balancer at their interval.
  void ScheduleLookups(int balancer);
  void ExecuteEffects(InstanceAddress from, Outbox& out);
  void Deliver(InstanceAddress from, InstanceAddress to, const Bytes& datagram);
  void DeliverToSidecar(InstanceAddress from, int index, const Bytes& datagram,
                        bool backlog);
  std::uint64_t DataCenterOf(int index) const {
    if (data_centers_ == 1) return 0;
    return 1 + static_cast<std::uint64_t>(index % data_centers_);
  }
  /// Handles an event of a sidecar's sockets, or keeps it while the process is
  /// suspended.
  void OnSidecarEvent(int index, std::function<void()> handle);
  void SendToCaller(const Segment& segment);
  void SendToBalancer(int balancer, const Segment& segment);
  /// @return the delay of a datagram in a queue, std::nullopt if it is full.
  std::optional<std::chrono::microseconds> Enqueue(InstanceAddress instance,
                                                   LinkQueue Link::*direction,
                                                   std::size_t bytes);
  bool IsLost();

  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(1000)};
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  CountingObserver observer_;
  std::map<int, std::unique_ptr<Balancer>> balancers_;
  std::map<int, std::unique_ptr<SidecarHost>> sidecars_;
  std::vector<std::unique_ptr<FakeCaller>> callers_;
  std::map<FlowKey, FakeCaller*> caller_by_flow_;
  std::set<InstanceAddress> isolated_;
  static constexpr int kAnyBalancer = -1;
  int entry_balancer_ = 0;
  std::function<std::chrono::milliseconds()> draw_service_time_;
  std::map<InstanceAddress, Link> links_;
  /// Datagrams in the sockets of suspended balancers.
  std::map<int, std::deque<std::function<void()>>> suspended_;
  /// The same of sidecars. @see OnSidecarEvent()
  std::map<int, std::deque<std::function<void()>>> suspended_sidecars_;
  std::map<int, std::uint8_t> frame_versions_;
  std::chrono::milliseconds warmup_{0};
  int data_centers_ = 1;
  std::function<void(int)> received_;
  std::uint64_t newest_version_ = 0;  ///< Of those given to any balancer.
  double loss_ = 0;
  int wrong_resets_ = 0;
  std::uint64_t datagrams_ = 0;
  std::uint64_t bytes_ = 0;
  std::set<int> earlier_builds_;
  std::set<int> advancing_;  ///< Balancers whose lookups are scheduled.
  bool ticking_ = false;
};

}  // namespace cowslip::segment::test
