#pragma once

#include <optional>
#include <vector>

#include "cowslip/coap.h"
#include "support/virtual_network.h"

namespace cowslip::testing {

/// A CoAP service of one balancer and several sidecars. The test plays the
/// callers and the upstreams: it sends requests and answers those that arrive.
class RequestFixture {
 public:
  static constexpr ServiceId kService{1};
  static constexpr Endpoint kAddress{0x7f350001, 5683};

  /// A request that an upstream received.
  struct Arrival {
    UpstreamId upstream{};
    flow::FlowSlot slot{};
    coap::Message message;
  };

  explicit RequestFixture(std::uint32_t upstreams, std::uint32_t slots = 2,
                          std::uint32_t max_queue = 2);

  static FlowKey Flow(std::uint32_t caller) {
    return {{0x0a000000 + caller, 40000}, kAddress};
  }
  static coap::Message Request(coap::Code code, std::uint16_t number);
  /// Sends a message of a caller and waits for its delivery.
  void Send(std::uint32_t caller, const coap::Message& message);
  /// Sends the response of an upstream and waits for its delivery.
  void Answer(const Arrival& arrival, const coap::Message& response);
  /// Sends a POST and, when it is challenged, repeats it with the Echo option.
  /// @return the last response, or std::nullopt if there is none yet.
  std::optional<coap::Message> Post(std::uint32_t caller, std::uint16_t number);
  /// Simulates that the port of the upstream refused a datagram of the flow.
  void RefuseAt(const Arrival& arrival);
  /// Waits until all frames under way are delivered.
  void Settle() { network.RunFor(std::chrono::milliseconds(20)); }

  VirtualNetwork network{1};
  std::vector<Arrival> arrivals;         ///< Requests received by upstreams.
  std::vector<coap::Message> responses;  ///< Received by callers.
};

}  // namespace cowslip::testing
