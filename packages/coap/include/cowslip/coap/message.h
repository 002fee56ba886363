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

/// Option numbers that are read or written here (RFC 7252, 7641, 7959, 9175).
enum class OptionNumber : std::uint16_t {
  kEtag = 4,
  kObserve = 6,
  kUriPath = 11,
  kMaxAge = 14,
  kBlock2 = 23,
  kBlock1 = 27,
  kEcho = 252,
};

/// An option of a message.
struct Option {
  OptionNumber number{};
  Bytes value;
};

/// A decoded CoAP message.
struct Message {
  Type type = Type::kCon;
  Code code = Code::kEmpty;
  std::uint16_t message_id = 0;
  Bytes token;
  std::vector<Option> options;  ///< In order of their numbers.
  Bytes payload;

  bool IsRequest() const;
  bool IsResponse() const;
  /// @return whether the method is idempotent: repeating the request has the
  ///     same effect as running it once.
  bool IsIdempotent() const;
  /// @return the first option with this number, nullptr if there is none.
  const Option* FindOption(OptionNumber number) const;
  /// @return the value of a uint option (RFC 7252 section 3.2), std::nullopt if
  ///     the option is missing or longer than four bytes.
  std::optional<std::uint32_t> FindUintOption(OptionNumber number) const;
  /// Replaces all options with this number by one, or adds it.
  void SetOption(OptionNumber number, Bytes value);
  void SetUintOption(OptionNumber number, std::uint32_t value);
  /// Removes all options with this number.
  void RemoveOption(OptionNumber number);
};

/// Decodes a datagram.
std::optional<Message> Parse(ByteView datagram, LastReason<CoapError>& reason);

/// Encodes a message to a datagram.
std::optional<Bytes> Encode(const Message& message,
                            LastReason<CoapError>& reason);

}  // namespace cowslip::coap
