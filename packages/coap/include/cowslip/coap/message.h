#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/coap/coap_error.h"

namespace cowslip::coap {

/// Message types of RFC 7252 section 3.
enum class Type : std::uint8_t { kCon, kNon, kAck, kRst };

/// Codes of RFC 7252 section 12.1, as class * 32 + detail.
enum class Code : std::uint8_t {
  kEmpty = 0,
  kGet = 1,
  kPost = 2,
  kPut = 3,
  kDelete = 4,
  kFetch = 5,
  kPatch = 6,
  kIpatch = 7,
  kContent = 69,
  kUnauthorized = 129,
  kRequestEntityIncomplete = 136,
  kServiceUnavailable = 163,
  kGatewayTimeout = 164,
};

/// Option numbers that the system reads or writes.
enum class OptionNumber : std::uint16_t {
  kEtag = 4,
  kObserve = 6,
  kUriPath = 11,
  kMaxAge = 14,
  kBlock2 = 23,
  kBlock1 = 27,
  kEcho = 252,
};

struct Option {
  OptionNumber number{};
  Bytes value;
};

/// A CoAP message, decoded.
struct Message {
  Type type = Type::kCon;
  Code code = Code::kEmpty;
  std::uint16_t message_id = 0;
  Bytes token;
  std::vector<Option> options;  ///< In order of their numbers.
  Bytes payload;

  bool IsRequest() const;
  bool IsResponse() const;
  /// Repeating the request has the same effect as running it once.
  bool IsIdempotent() const;
  const Option* FindOption(OptionNumber number) const;
  std::optional<std::uint32_t> FindUintOption(OptionNumber number) const;
  /// Replaces the option, or adds it.
  void SetOption(OptionNumber number, Bytes value);
  void SetUintOption(OptionNumber number, std::uint32_t value);
  void RemoveOption(OptionNumber number);
};

std::optional<Message> Parse(ByteView datagram, LastReason<CoapError>& reason);

std::optional<Bytes> Encode(const Message& message,
                            LastReason<CoapError>& reason);

}  // namespace cowslip::coap
