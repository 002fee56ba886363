#pragma once

#include <arpa/inet.h>
#include <coap3/coap.h>

#include <memory>
#include <string>
#include <string_view>

#include "cowslip/base/endpoint.h"

namespace cowslip::standin {

/// Initialises libcoap for the lifetime of the object.
class CoapLibrary {
 public:
  CoapLibrary() {
    coap_startup();
    coap_set_log_level(LOG_ERR);
  }
  CoapLibrary(const CoapLibrary&) = delete;
  CoapLibrary& operator=(const CoapLibrary&) = delete;
  ~CoapLibrary() { coap_cleanup(); }
};

struct CoapContextDeleter {
  void operator()(coap_context_t* context) const { coap_free_context(context); }
};
struct CoapSessionDeleter {
  void operator()(coap_session_t* session) const {
    coap_session_release(session);
  }
};
struct CoapOptionListDeleter {
  void operator()(coap_optlist_t* list) const { coap_delete_optlist(list); }
};

using CoapContext = std::unique_ptr<coap_context_t, CoapContextDeleter>;
using CoapSession = std::unique_ptr<coap_session_t, CoapSessionDeleter>;
using CoapOptionList = std::unique_ptr<coap_optlist_t, CoapOptionListDeleter>;

/// @return the endpoint in libcoap's form.
inline coap_address_t ToCoapAddress(const Endpoint& endpoint) {
  coap_address_t address;
  coap_address_init(&address);
  address.size = sizeof address.addr.sin;
  address.addr.sin.sin_family = AF_INET;
  address.addr.sin.sin_addr.s_addr = htonl(endpoint.address);
  address.addr.sin.sin_port = htons(endpoint.port);
  return address;
}

/// @return the bytes of a text in libcoap's form.
inline const std::uint8_t* ToBytes(std::string_view text) {
  return reinterpret_cast<const std::uint8_t*>(text.data());
}

/// @return the part of a message's payload that has been received.
inline std::string Payload(const coap_pdu_t* message) {
  std::size_t size = 0;
  std::size_t offset = 0;
  std::size_t total = 0;
  const std::uint8_t* data = nullptr;
  if (coap_get_data_large(message, &size, &data, &offset, &total) == 0) {
    return {};
  }
  return {reinterpret_cast<const char*>(data), size};
}

}  // namespace cowslip::standin
