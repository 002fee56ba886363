#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cowslip/coap.h"
#include "support/virtual_network.h"

namespace cowslip::testing {

/// A CoAP service with observations (RFC 7641): simulated upstreams that notify
/// their observers, and simulated callers that observe. The value of the
/// observed resource is the same counter at all upstreams, so that any upstream
/// can continue an observation.
class FeedFixture {
 public:
  static constexpr ServiceId kService{1};
  static constexpr Endpoint kAddress{0x7f350001, 5683};

  explicit FeedFixture(std::uint64_t seed, std::uint32_t balancers = 3,
                       std::uint32_t upstreams = 2);

  static FlowKey Flow(std::uint32_t caller) {
    return {{0x0a000000 + caller, 40000}, kAddress};
  }
  static engine::SidecarOptions Options(std::uint32_t id,
                                        std::uint64_t incarnation = 1);
  /// Sends the registration of a caller through a balancer.
  void Observe(std::uint32_t caller, const Endpoint& balancer);
  /// Increments the value and notifies all observers, again after each
  /// interval, until the network is destroyed.
  void NotifyEvery(Duration interval, coap::Type type);
  /// @return the upstreams that have an observation of the caller.
  std::vector<UpstreamId> Owners(std::uint32_t caller) const;
  /// @return the address of a random balancer that is running.
  Endpoint AnyBalancer();

  /// The notifications that a caller received.
  struct Feed {
    TimePoint last{};                ///< Time of the latest one.
    Duration longest_gap{};          ///< Longest time between two.
    std::uint32_t last_observe = 0;  ///< Highest Observe number.
    std::uint64_t notifications = 0;
    std::uint64_t stale = 0;      ///< Overtaken: a lower Observe number.
    std::uint64_t reordered = 0;  ///< A higher number with an older value.
    std::uint64_t last_value = 0;
    std::uint64_t misdelivered = 0;  ///< Not for this caller.
    std::uint64_t id_conflicts = 0;  ///< One message id for two payloads.
    std::map<std::uint16_t, Bytes> confirmables;  ///< By message id.
    std::optional<std::uint16_t> last_confirmable;
    std::set<std::uint64_t> values;  ///< Including those of stale ones.
  };
  std::map<std::uint32_t, Feed> feeds;
  VirtualNetwork network;
  /// Share of the callers' acknowledgements that are lost.
  double acknowledgement_loss = 0;
  /// Whether upstreams wait for the acknowledgement of a confirmable
  /// notification before the next one. They retransmit it after 2 s, doubling
  /// the delay each time (RFC 7252 section 4.2).
  bool one_at_a_time = false;
  /// Whether callers acknowledge confirmable notifications. Otherwise they send
  /// nothing after the registration.
  bool acknowledges = true;
  std::uint64_t value = 0;  ///< The present value of the resource.
  std::uint64_t acks_at_upstreams = 0;
  /// Acknowledgements at an upstream that did not send the message id.
  std::uint64_t foreign_acks = 0;

 private:
  struct Observation {
    flow::FlowSlot slot{};
    Bytes token;
    std::uint32_t observe = 0;
    std::uint16_t message_id = 0;
    Bytes unacknowledged;
    TimePoint retransmit_at{};
    Duration retransmit_delay{};
  };
  void OnUpstream(UpstreamId id, flow::FlowSlot slot, ByteView payload);
  void OnCaller(const FlowKey& flow, ByteView payload);
  bool AwaitsAck(UpstreamId id, Observation& observation);
  void Notify(Duration interval, coap::Type type);

  std::map<UpstreamId, std::map<flow::FlowSlot, Observation>> observations_;
};

}  // namespace cowslip::testing
