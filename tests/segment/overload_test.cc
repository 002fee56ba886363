// Admission of connections when more requests come than the upstreams can serve
// within the latency target, in virtual time.
#define BOOST_TEST_MODULE overload
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <random>

#include "segment/simulation.h"

namespace cowslip::segment::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kUpstreams = 16;
constexpr int kBalancers = 4;
constexpr milliseconds kServiceTime{40};
constexpr milliseconds kTarget{250};
/// Attempts of a caller, each on a new connection.
constexpr int kAttempts = 3;

/// How the service times of the upstreams differ from those at the start.
enum class ServiceTimes { kAsTold, kDoubled, kLongTail };

/// One load on the upstreams.
struct Load {
  double of_capacity;  ///< Requests that arrive, as a share of the capacity.
  std::uint32_t slots;
  ServiceTimes service_times;
};

std::ostream& operator<<(std::ostream& out, const Load& load) {
  return out << load.of_capacity << " of capacity, " << load.slots
             << " slots, service times "
             << static_cast<int>(load.service_times);
}

/// A request of a caller that opens a new connection after each refusal.
struct Request {
  TimePoint started;
  FakeCaller* attempt = nullptr;
  int attempts = 1;
  bool ended = false;
};

/// Callers that arrive at random times, and the answers that come in time.
class OverloadedSite {
 public:
  explicit OverloadedSite(const Load& load) : load_(load), sim_(kSeed) {
    for (int i = 0; i < kBalancers; ++i) sim_.AddBalancer(i);
    FakeUpstream::Options options;
    options.slots = load.slots;
    sim_.SetServiceTimes([this] { return DrawServiceTime(); });
    for (int i = 0; i < kUpstreams; ++i) sim_.AddSidecar(i, "vault", options);
    sim_.SetRoutes(1, "vault", kTarget);
    sim_.UpdateAllMembers();
    for (int i = 0; i < kUpstreams; ++i) sim_.Report(i);
    sim_.SpreadCallers();
  }

  /// @return requests per second that the upstreams can serve.
  double capacity() const {
    const std::chrono::duration<double> mean = MeanServiceTime();
    return kUpstreams * load_.slots / mean.count();
  }

  /// Runs the load. @return requests answered in time per second.
  double MeasureGoodput() {
    constexpr seconds kWarmup{3};
    constexpr seconds kMeasured{6};
    RunLoad(kWarmup);
    answered_in_time_ = 0;
    RunLoad(kMeasured);
    return answered_in_time_ / std::chrono::duration<double>(kMeasured).count();
  }

 private:
  static constexpr std::uint64_t kSeed = 7;

  milliseconds MeanServiceTime() const {
    return load_.service_times == ServiceTimes::kDoubled ? 2 * kServiceTime
                                                         : kServiceTime;
  }

  milliseconds DrawServiceTime() {
    if (load_.service_times != ServiceTimes::kLongTail) {
      return MeanServiceTime();
    }
    // One in ten takes 5.5 times as long as the others; the mean is the same.
    constexpr double kShareOfLong = 0.1;
    const bool is_long = uniform_(random_) < kShareOfLong;
    return is_long ? milliseconds(152) : milliseconds(28);
  }

  void RunLoad(milliseconds time) {
    const double rate = load_.of_capacity * capacity();
    const auto end = sim_.now() + time;
    while (sim_.now() < end) {
      const std::chrono::duration<double> gap{
          std::exponential_distribution<double>(rate)(random_)};
      sim_.Run(std::chrono::duration_cast<std::chrono::microseconds>(gap));
      CheckRequests();
      Request request{.started = sim_.now()};
      Open(request);
      requests_.push_back(request);
    }
  }

  void Open(Request& request) {
    request.attempt = &sim_.AddCaller();
    request.attempt->Open();
  }

  void CheckRequests() {
    for (auto& request : requests_) {
      const auto state = request.attempt->state();
      if (state == CallState::kReset && request.attempts < kAttempts) {
        ++request.attempts;
        Open(request);
      } else if (state == CallState::kAnswered) {
        answered_in_time_ += sim_.now() - request.started <= kTarget;
        request.ended = true;
      } else if (state == CallState::kReset || state == CallState::kTimedOut) {
        request.ended = true;
      }
    }
    std::erase_if(requests_, [](const auto& each) { return each.ended; });
  }

  Load load_;
  Simulation sim_;
  std::mt19937_64 random_{kSeed};
  std::uniform_real_distribution<double> uniform_;
  std::vector<Request> requests_;
  int answered_in_time_ = 0;
};

std::vector<Load> AllLoads() {
  std::vector<Load> loads;
  for (const auto times : {ServiceTimes::kAsTold, ServiceTimes::kDoubled,
                           ServiceTimes::kLongTail}) {
    for (const std::uint32_t slots : {2U, 4U}) {
      for (const double share : {0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0}) {
        loads.push_back({share, slots, times});
      }
    }
  }
  return loads;
}

}  // namespace

// An oracle that knows all service times answers as many requests as arrive or
// as the slots can serve.
BOOST_DATA_TEST_CASE(GoodputStaysNearOracle, AllLoads(), load) {
  OverloadedSite site(load);
  const double oracle = std::min(load.of_capacity, 1.0) * site.capacity();
  const double goodput = site.MeasureGoodput();
  BOOST_TEST_MESSAGE(load << ": goodput " << goodput / oracle << " of oracle");
  BOOST_TEST(goodput >= 0.9 * oracle, "goodput " << goodput / oracle);
}

}  // namespace cowslip::segment::test
