#pragma once

#include <chrono>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/cost/service_table.h"
#include "cowslip/cost/service_times.h"

namespace cowslip::cost {

/// What requests are likely to cost one upstream, by service address, learned
/// beside the upstream from its responses.
///
/// Load pattern: requests of several routes that differ in cost, and upstreams
/// that differ in speed or become slow. One mean over all routes orders
/// upstreams by the routes that they happened to serve last.
class CostModel {
 public:
  /// Service time assumed before the first response.
  static constexpr std::chrono::milliseconds kInitialServiceTime{20};

  /// What was learned of one service address.
  struct Service {
    ServiceTimes recent;
    LatencyHistogram all;  ///< Since the start, for metrics.
  };

  /// The upstream had requests in progress for this long.
  void OnLoaded(Duration time) { loaded_time_ += time; }
  /// A request was served in this time.
  void OnServed(const Endpoint& address, Duration service_time);

  /// @return the mean service time of an address; the mean over all addresses
  /// if there was no response of this one.
  Duration Mean(const Endpoint& address) const;
  /// @return the mean service time over all addresses.
  Duration Mean() const;
  /// @return the expected remaining service time of a request that has run for
  /// `elapsed`.
  Duration ExpectedRemaining(const Endpoint& address, Duration elapsed) const;
  /// @return what was learned, by service address.
  const std::vector<ServiceTable<Service>::Row>& services() const {
    return services_.rows();
  }

 private:
  ServiceTable<Service> services_;
  ServiceTimes all_;
  Duration loaded_time_{};
};

}  // namespace cowslip::cost
