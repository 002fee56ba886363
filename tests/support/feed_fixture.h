#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cowslip/coap.h"
#include "support/virtual_network.h"

namespace cowslip::testing {

/// A CoAP service with feeds: upstreams that notify their observers, and
/// callers that observe. A feed's value is the time, so that any upstream can
/// continue it.
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
  /// Observes through one balancer; repeat it until notifications arrive.
  void Observe(std::uint32_t caller, const Endpoint& balancer);
  /// Notifies all observers every interval until the network ends.
  void NotifyEvery(Duration interval, coap::Type type);
  /// @return the upstreams that hold a feed of the caller.
  std::vector<UpstreamId> Owners(std::uint32_t caller) const;
  Endpoint AnyBalancer();

  /// What a caller saw of its feed.
  struct Feed {
    TimePoint last{};
    Duration longest_gap{};
    std::uint32_t last_observe = 0;
    std::uint64_t notifications = 0;
    std::uint64_t stale = 0;
    std::uint64_t went_back = 0;  ///< Fresh number, older value.
    std::uint64_t last_value = 0;
    std::uint64_t foreign = 0;
    std::uint64_t clashes = 0;  ///< One message id for two payloads.
    std::map<std::uint16_t, Bytes> confirmables;
    std::optional<std::uint16_t> last_confirmable;
    std::set<std::uint64_t> values;  ///< Received, also when overtaken.
  };
  std::map<std::uint32_t, Feed> feeds;
  VirtualNetwork network;
  /// Share of the callers' acknowledgements that the fabric loses.
  double acknowledgement_loss = 0;
  /// Upstreams wait for the acknowledgement of a confirmable notification
  /// before the next, and repeat it after 2 s, doubling (RFC 7252 section 4.2).
  bool one_at_a_time = false;
  /// The caller acknowledges confirmable notifications; otherwise it is mute.
  bool acknowledges = true;
  std::uint64_t value = 0;  ///< Of the feed now.
  std::uint64_t acks_at_upstreams = 0;
  std::uint64_t foreign_acks = 0;  ///< With a message id never sent there.

 private:
  struct Observation {
    flow::FlowSlot slot{};
    Bytes token;
    std::uint32_t observe = 0;
    std::uint16_t message_id = 0;
    Bytes unacknowledged;
    TimePoint repeat_at{};
    Duration repeat_wait{};
  };
  void OnUpstream(UpstreamId id, flow::FlowSlot slot, ByteView payload);
  void OnCaller(const FlowKey& flow, ByteView payload);
  bool Waits(UpstreamId id, Observation& observation);
  void Notify(Duration interval, coap::Type type);

  std::map<UpstreamId, std::map<flow::FlowSlot, Observation>> observations_;
};

}  // namespace cowslip::testing
