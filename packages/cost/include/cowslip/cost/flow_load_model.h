#pragma once

#include <chrono>
#include <cstdint>

#include "cowslip/base.h"
#include "cowslip/cost/service_table.h"

namespace cowslip::cost {

/// What open flows bring to one upstream, by service address, learned beside
/// the upstream.
///
/// Load pattern: long-lived flows that send requests for a minute. The load at
/// the moment of a new connection says little of the load that the upstream
/// will have from the flows that it has already.
class FlowLoadModel {
 public:
  /// Requests per flow from which the flows of an address count as long-lived.
  static constexpr std::uint32_t kManyRequests = 4;
  /// Requests that have to be known of an address before.
  static constexpr double kMinRequests = 8;
  /// Time in which what was learned loses half of its weight: several times the
  /// distance between the requests of a flow.
  static constexpr std::chrono::seconds kHalfLife{10};

  /// A request was sent on a flow. @param on_flow its number, from 1.
  void OnRequest(const Endpoint& address, std::uint32_t on_flow, TimePoint now);
  /// A request occupied a slot for this time.
  void OnServed(const Endpoint& address, Duration service_time, TimePoint now);
  /// A flow on which this number of requests were sent has ended.
  void OnFlowEnded(const Endpoint& address, std::uint32_t requests,
                   TimePoint now);
  /// All flows have ended, as the upstream was replaced.
  void Reset(TimePoint now);

  /// @return whether flows of an address usually carry many requests.
  bool IsLongLived(const Endpoint& address) const;
  /// @return slots that the open long-lived flows occupy on average, and one
  /// more flow of the address.
  double SlotsWithOneMore(const Endpoint& address, TimePoint now);

 private:
  /// What was learned of one address; the sums lose weight over time.
  struct Flows {
    /// Flows that have ended or sent kManyRequests, and their requests. Younger
    /// flows don't count: when many are opened at once, they would make the
    /// flows of the address look short.
    double known = 0;
    double requests = 0;
    double busy_seconds = 0;  ///< Of slots.
    double open_seconds = 0;  ///< Of flows.
    std::uint32_t open = 0;
    TimePoint updated{};

    void Update(TimePoint now);
    bool IsLongLived() const {
      return requests >= kMinRequests && requests >= kManyRequests * known;
    }
    /// @return slots that one open flow occupies on average.
    double SlotsPerFlow() const;
  };

  ServiceTable<Flows> flows_;
};

}  // namespace cowslip::cost
