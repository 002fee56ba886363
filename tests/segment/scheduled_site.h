#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <vector>

#include "segment/simulation.h"

namespace cowslip::segment::test {

/// Requests of one route.
struct RequestKind {
  std::uint8_t priority = 1;
  std::chrono::milliseconds target{300};
  std::chrono::milliseconds limit{2000};
  /// Requests come on flows that stay open, not on a flow of their own.
  bool on_open_flows = false;
  double value = 1;  ///< Of a response in time.
};

/// What became of the requests of one kind.
struct Outcome {
  int requests = 0;
  int in_time = 0;
  int late = 0;  ///< Answered after the target, before the limit.
  double value = 0;

  double served() const { return requests == 0 ? 1 : value / requests; }
  double answered() const {
    return requests == 0 ? 1 : static_cast<double>(in_time + late) / requests;
  }
};

/// Upstreams behind balancers, and callers of several kinds of requests who
/// make three attempts in total, as long as the time limit has not passed.
class ScheduledSite {
 public:
  /// Share of the value of a response that is late.
  static constexpr double kLateValue = 0.3;
  static constexpr int kAttempts = 3;

  /// Upstreams and their speed.
  struct Options {
    int upstreams = 12;
    std::uint32_t slots = 2;
    std::chrono::milliseconds service_time{40};
    /// Upstreams that take three times as long from BeginSlow() on.
    int slow_upstreams = 0;
    /// Cold upstreams take 1.6 times as long for this time after a start.
    std::chrono::milliseconds warmup{0};
    /// Requests per second that each cold upstream may receive; 0 for no limit.
    double warm_up_limit = 0;
    /// Upstreams and balancers are spread over them by their index.
    int data_centers = 1;
    /// Service times over the usual ones, for the upstreams of a data centre
    /// one after the other; empty if all are alike.
    std::vector<double> factors = {};
    /// Whether frames carry the class; otherwise the site behaves as before.
    bool classified = true;
    std::uint64_t seed = 11;
  };

  ScheduledSite(const Options& options, const std::vector<RequestKind>& kinds);

  /// @return requests per second that all slots serve at their usual speed.
  double Capacity() const;
  /// Runs arrivals at random times. @param rates requests per second by kind.
  void Run(std::chrono::milliseconds time, const std::vector<double>& rates);
  /// Lets requests of a kind begin at once.
  void Burst(std::size_t kind, int requests);
  /// Goes on with the load until all requests that count have ended.
  void Finish(const std::vector<double>& rates);
  /// Forgets the outcomes so far; requests that began before don't count.
  void StartMeasurement();
  /// Requests that begin from now on don't count.
  void StopMeasurement() { measuring_ = false; }
  /// @return whether a request that counts has not ended.
  bool HasOpenCalls() const;
  /// @return when the requests of a kind that count began.
  const std::vector<TimePoint>& starts(std::size_t kind) const {
    return starts_[kind];
  }
  /// @return the value of the responses of an oracle that knows all service
  /// times and loses no time: it serves what can be in time first.
  /// @param from when all slots become free, with cold upstreams.
  double OracleOfColdStart(TimePoint from) const;
  const Outcome& outcome(std::size_t kind) const { return outcomes_[kind]; }
  double TotalValue() const;

  void BeginSlow() { slow_ = true; }
  static constexpr int kAllDataCenters = -1;
  /// All machines lose their upstreams and sidecars, and get them back cold.
  void LosePower(std::chrono::milliseconds outage,
                 const std::vector<double>& rates,
                 int data_center = kAllDataCenters);
  /// @return when an upstream received a request, in its present process.
  const std::vector<TimePoint>& received(int upstream) const {
    return received_[upstream];
  }
  /// @return the most requests that it received in a sliding second of the time
  /// in which it was cold.
  int MostWhileCold(int upstream) const;

  /// @return times that a slot of an upstream was seen idle while a request
  /// waited beside it.
  std::uint64_t IdleSlots() const { return idle_slots_; }
  /// @return what the sidecars counted of it.
  std::uint64_t CountedIdleSlots();
  std::uint64_t Refused();
  Simulation& sim() { return sim_; }
  const Options& options() const { return options_; }

 private:
  static constexpr int kBalancers = 4;

  /// A request of a caller.
  struct Call {
    std::size_t kind = 0;
    TimePoint started{};
    FakeCaller* caller = nullptr;
    int attempts = 1;
    bool ended = false;
    bool measured = true;
  };

  static Endpoint AddressOf(std::size_t kind);
  void SetRoutes();
  std::chrono::milliseconds DrawServiceTime(int upstream);
  void Begin(std::size_t kind);
  void Open(Call& call);
  /// Lets time pass in steps of a millisecond.
  void Advance(TimePoint until);
  void CheckCalls();
  void CheckSlots();

  Options options_;
  std::vector<RequestKind> kinds_;
  Simulation sim_;
  std::mt19937_64 random_;
  /// Of its own, so that two runs have the same arrivals.
  std::mt19937_64 random_arrivals_;
  std::vector<TimePoint> started_at_;
  std::vector<std::vector<TimePoint>> received_;
  std::vector<Call> calls_;
  std::vector<std::vector<FakeCaller*>> idle_callers_;
  std::vector<Outcome> outcomes_;
  std::vector<std::vector<TimePoint>> starts_;
  bool measuring_ = true;
  bool slow_ = false;
  bool powered_ = true;
  std::uint64_t idle_slots_ = 0;
};

}  // namespace cowslip::segment::test
