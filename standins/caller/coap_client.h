#pragma once

#include <coap3/coap.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cowslip/base/clock.h"
#include "cowslip/base/endpoint.h"
#include "cowslip/base/last_reason.h"
#include "standins/caller/coap_response.h"
#include "standins/common/coap_handles.h"
#include "standins/common/standin_error.h"

namespace cowslip::standin {

/// A CoAP request to send.
struct CoapRequest {
  coap_pdu_code_t method = COAP_REQUEST_CODE_GET;
  std::string path;  ///< May end with a question mark and a query.
  std::string payload;
  bool observe = false;  ///< Registers an observation (RFC 7641).
};

/// A CoAP client with one UDP session, on libcoap's client API.
class CoapClient {
 public:
  /// Called for each response; returns whether to continue receiving.
  using OnResponse = std::function<bool(const CoapResponse&)>;

  /// @param local address to send from, std::nullopt for any.
  /// @return nullptr if libcoap cannot create the session.
  static std::unique_ptr<CoapClient> Create(
      const Endpoint& server, const std::optional<Endpoint>& local,
      LastReason<StandinError>& reason);
  CoapClient(const CoapClient&) = delete;
  CoapClient& operator=(const CoapClient&) = delete;

  /// Time before the first retransmission (ACK_TIMEOUT of RFC 7252).
  void SetAckTimeout(std::chrono::milliseconds timeout);
  /// Sends a confirmable request.
  bool Send(const CoapRequest& request);
  /// Sends a confirmable request and waits for its final response.
  std::optional<CoapResponse> Exchange(const CoapRequest& request,
                                       std::chrono::milliseconds timeout);
  /// Receives until the deadline passes, the request fails or the callback
  /// returns false.
  void ReceiveUntil(TimePoint deadline, const OnResponse& on_response);

  /// Why the request failed after all retransmissions, empty if it did not.
  const std::string& failure() const { return failure_; }

 private:
  CoapClient();

  // Handlers of libcoap.
  static coap_response_t OnPdu(coap_session_t* session, const coap_pdu_t* sent,
                               const coap_pdu_t* received, coap_mid_t mid);
  static void OnNack(coap_session_t* session, const coap_pdu_t* sent,
                     coap_nack_reason_t reason, coap_mid_t mid);

  CoapLibrary library_;
  CoapContext context_;
  CoapSession session_;
  OnResponse on_response_;
  bool receiving_ = false;
  std::string failure_;
};

}  // namespace cowslip::standin
