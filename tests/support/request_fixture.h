#pragma once

#include <optional>
#include <vector>

#include "cowslip/coap.h"
#include "support/virtual_network.h"

namespace cowslip::testing {

/// A CoAP service whose upstreams and callers the test scripts.
class RequestFixture {
 public:
  static constexpr ServiceId kService{1};
  static constexpr Endpoint kAddress{0x7f350001, 5683};

  /// A request as it reached an upstream.
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
  /// Sends a message of a caller and lets it travel.
  void Send(std::uint32_t caller, const coap::Message& message);
  /// Answers a request from its upstream, and lets the answer travel.
  void Answer(const Arrival& arrival, const coap::Message& response);
  /// Sends a POST and repeats it with the Echo that it is challenged with.
  /// @return the last response, std::nullopt if it is still awaited.
  std::optional<coap::Message> Post(std::uint32_t caller, std::uint16_t number);
  /// Tells the sidecar that its upstream refused a datagram of the flow.
  void RefuseAt(const Arrival& arrival);
  void Settle() { network.RunFor(std::chrono::milliseconds(20)); }

  VirtualNetwork network{1};
  std::vector<Arrival> arrivals;
  std::vector<coap::Message> responses;  ///< That reached callers.
};

}  // namespace cowslip::testing
