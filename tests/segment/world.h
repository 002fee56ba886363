#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cowslip/segment.h"
#include "segment/fake_caller.h"
#include "segment/fake_upstream.h"

namespace cowslip::segment::test {

/// Balancers, sidecars, upstreams and callers in virtual time.
class World {
 public:
  explicit World(std::uint64_t seed = 1) : random_(seed) {}

  static InstanceAddress BalancerAddress(int index) { return 1000U + index; }
  static InstanceAddress SidecarAddress(int index) { return 2000U + index; }

  /// @param complete it knows all members that the store lists.
  void AddBalancer(int index, bool complete = true);
  void AddSidecar(int index, const std::string& service,
                  const FakeUpstream::Options& options = {});
  void SetRoutes(std::uint64_t version, const std::string& service);
  /// Tells a balancer the members of a service.
  void TellMembers(int balancer, const std::string& service,
                   const std::vector<int>& sidecars);
  void TellAllMembers();

  /// The upstream reports itself to its sidecar, and each second from then on.
  void Report(int sidecar, bool draining = false);
  /// The sidecar's process is replaced; its upstream lives on.
  void RestartSidecar(int sidecar, bool has_predecessor);
  /// Nothing reaches an instance any more, until it is restored.
  void Cut(InstanceAddress instance) { cut_.insert(instance); }
  void Restore(InstanceAddress instance) { cut_.erase(instance); }
  /// Packets of callers go to this balancer from now on.
  void RouteTo(int balancer) { entry_ = balancer; }
  void SetLoss(double share) { loss_ = share; }

  FakeCaller& AddCaller();
  void Run(std::chrono::milliseconds time);

  Balancer& balancer(int index) { return *balancers_.at(index); }
  Sidecar& sidecar(int index) { return *sidecars_.at(index)->sidecar; }
  FakeUpstream& upstream(int index) { return *sidecars_.at(index)->upstream; }
  std::vector<std::unique_ptr<FakeCaller>>& callers() { return callers_; }
  /// @return resets of flows that a living upstream held.
  int wrong_resets() const { return wrong_resets_; }
  /// @return the index of the sidecar whose upstream holds a flow, or -1.
  int HolderOf(const FlowKey& flow) const;
  TimePoint now() const { return now_; }

 private:
  struct Site {
    std::string service;
    FakeUpstream::Options options;
    std::unique_ptr<FakeUpstream> upstream;
    std::unique_ptr<Sidecar> sidecar;
    std::uint64_t reports = 0;
    TimePoint reported{};
    bool draining = false;
  };
  struct Event {
    TimePoint time;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };
  class Silent final : public Observer {
    void OnDecision(const FlowDecision&) override {}
  };

  void After(std::chrono::microseconds delay, std::function<void()> run);
  void Tick();
  void CarryOut(InstanceAddress from, Outbox& out);
  void Deliver(InstanceAddress from, InstanceAddress to, const Bytes& datagram);
  void ToCaller(const Segment& segment);
  bool Lost();

  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(1000)};
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  Silent observer_;
  std::map<int, std::unique_ptr<Balancer>> balancers_;
  std::map<int, std::unique_ptr<Site>> sidecars_;
  std::vector<std::unique_ptr<FakeCaller>> callers_;
  std::map<FlowKey, FakeCaller*> by_flow_;
  std::set<InstanceAddress> cut_;
  int entry_ = 0;
  double loss_ = 0;
  int wrong_resets_ = 0;
  bool ticking_ = false;
};

}  // namespace cowslip::segment::test
