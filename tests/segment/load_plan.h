#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::segment::test {

/// A request of a flow, with its cost drawn in advance, so that each policy
/// gets the same load.
struct PlannedRequest {
  Duration after_open{};
  std::chrono::duration<double> cost{};  ///< Service time at speed 1.
};

/// A connection of a caller.
struct PlannedFlow {
  Duration opens_at{};
  int data_center = 0;
  std::uint16_t port = 0;  ///< Of the service address.
  std::vector<PlannedRequest> requests;
};

/// How an upstream fails requests while its health is good.
enum class Failure { kSmallResponse, kReset, kNoResponse };

/// A time in which an upstream fails part of its requests, or is slower.
struct PlannedFault {
  Duration from = std::chrono::hours(1);
  Duration until = std::chrono::hours(1);
  double share = 0;  ///< Of the requests that fail.
  Failure failure = Failure::kSmallResponse;
  double factor = 1;  ///< Of the service times.
};

/// An upstream. Its service times are the cost times a factor.
struct PlannedUpstream {
  int data_center = 0;
  std::uint32_t slots = 2;
  double factor = 1;
  /// The factor changes by this much at a point of time.
  double later_change = 1;
  Duration changes_at = std::chrono::hours(1);
  /// It accepts no connections in this time: its data centre is evacuated.
  Duration closed_from = std::chrono::hours(1);
  Duration closed_until = std::chrono::hours(1);
  std::vector<PlannedFault> faults = {};
};

/// Load on the upstreams of one service.
struct LoadPlan {
  int data_centers = 1;
  int balancers_per_data_center = 2;
  std::chrono::milliseconds target{300};
  /// Requests before this time are not measured.
  Duration measured_from = std::chrono::seconds(3);
  std::vector<PlannedUpstream> upstreams;
  std::vector<PlannedFlow> flows;  ///< In the order of Flow::opens_at.
};

/// Adds flows of one request that open at random times.
class FlowGenerator {
 public:
  using Cost = std::function<std::chrono::duration<double>(std::mt19937_64&)>;

  FlowGenerator(std::uint64_t seed, Cost cost)
      : random_(seed), cost_(std::move(cost)) {}

  /// @param rate flows per second of a data centre at a time after the start.
  /// @param peak upper limit of all rates.
  void Add(LoadPlan& plan, Duration length, double peak,
           const std::function<double(int data_center, Duration at)>& rate);
  /// Adds flows that send several requests.
  /// @param distance mean time between them.
  void AddLong(LoadPlan& plan, Duration length, double rate, int requests,
               Duration distance);

 private:
  std::chrono::duration<double> Gap(double rate) {
    return std::chrono::duration<double>(
        std::exponential_distribution<double>(rate)(random_));
  }

  std::mt19937_64 random_;
  Cost cost_;
};

}  // namespace cowslip::segment::test
