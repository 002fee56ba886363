#include "cowslip/coap/message.h"

#include <coap3/coap.h>

#include <algorithm>
#include <array>
#include <memory>

namespace cowslip::coap {
namespace {

constexpr std::size_t kMaxMessageBytes = 2048;
constexpr std::size_t kMaxTokenBytes = 8;
constexpr std::uint8_t kVersionBits = 0x40;
constexpr std::uint8_t kPayloadMarker = 0xff;
constexpr int kTypeShift = 4;
constexpr int kClassShift = 5;

struct PduDelete {
  void operator()(coap_pdu_t* pdu) const { coap_delete_pdu(pdu); }
};
using PduPtr = std::unique_ptr<coap_pdu_t, PduDelete>;

/// Disables the log of libcoap, which reports every malformed message; callers
/// count them instead.
void DisableLibraryLog() {
  static const bool kDisabled = [] {
    coap_set_log_level(LOG_EMERG);
    return true;
  }();
  static_cast<void>(kDisabled);
}

PduPtr ParsePdu(ByteView datagram) {
  DisableLibraryLog();
  PduPtr pdu(coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0,
                           std::max<std::size_t>(datagram.size(), 1)));
  if (!pdu) return nullptr;
  if (!coap_pdu_parse(COAP_PROTO_UDP, datagram.data(), datagram.size(),
                      pdu.get())) {
    return nullptr;
  }
  return pdu;
}

std::vector<Option> ReadOptions(const coap_pdu_t* pdu) {
  std::vector<Option> options;
  coap_opt_iterator_t iterator;
  coap_option_iterator_init(pdu, &iterator, COAP_OPT_ALL);
  while (coap_opt_t* option = coap_option_next(&iterator)) {
    const auto* value = coap_opt_value(option);
    options.push_back({OptionNumber(iterator.number),
                       Bytes(value, value + coap_opt_length(option))});
  }
  return options;
}

bool AppendOptions(const Message& message, Bytes& out) {
  std::uint16_t previous = 0;
  for (const auto& option : message.options) {
    const auto number = static_cast<std::uint16_t>(option.number);
    const auto delta = static_cast<std::uint16_t>(number - previous);
    const auto size = coap_opt_encode_size(delta, option.value.size());
    const auto start = out.size();
    out.resize(start + size);
    if (coap_opt_encode(&out[start], size, delta, option.value.data(),
                        option.value.size()) != size) {
      return false;
    }
    previous = number;
  }
  return true;
}

}  // namespace

bool Message::IsRequest() const {
  return code != Code::kEmpty && static_cast<int>(code) >> kClassShift == 0;
}

bool Message::IsResponse() const {
  return static_cast<int>(code) >> kClassShift >= 2;
}

bool Message::IsIdempotent() const {
  return code == Code::kGet || code == Code::kPut || code == Code::kDelete ||
         code == Code::kFetch || code == Code::kIpatch;
}

const Option* Message::FindOption(OptionNumber number) const {
  const auto found =
      std::find_if(options.begin(), options.end(),
                   [&](const auto& o) { return o.number == number; });
  return found == options.end() ? nullptr : &*found;
}

std::optional<std::uint32_t> Message::FindUintOption(
    OptionNumber number) const {
  const auto* option = FindOption(number);
  if (option == nullptr || option->value.size() > sizeof(std::uint32_t)) {
    return std::nullopt;
  }
  std::uint32_t value = 0;
  for (const auto byte : option->value) value = value << 8 | byte;
  return value;
}

void Message::SetOption(OptionNumber number, Bytes value) {
  RemoveOption(number);
  const auto position =
      std::find_if(options.begin(), options.end(),
                   [&](const auto& o) { return o.number > number; });
  options.insert(position, {number, std::move(value)});
}

void Message::SetUintOption(OptionNumber number, std::uint32_t value) {
  std::array<std::uint8_t, sizeof value> buffer{};
  const auto size = coap_encode_var_safe(buffer.data(), buffer.size(), value);
  SetOption(number, Bytes(buffer.begin(), buffer.begin() + size));
}

void Message::RemoveOption(OptionNumber number) {
  std::erase_if(options, [&](const auto& o) { return o.number == number; });
}

std::optional<Message> Parse(ByteView datagram, LastReason<CoapError>& reason) {
  const auto pdu = ParsePdu(datagram);
  if (!pdu) {
    reason.Set(CoapError::kMalformed);
    return std::nullopt;
  }
  Message message;
  message.type = static_cast<Type>(coap_pdu_get_type(pdu.get()));
  message.code = static_cast<Code>(coap_pdu_get_code(pdu.get()));
  message.message_id = static_cast<std::uint16_t>(coap_pdu_get_mid(pdu.get()));
  const auto token = coap_pdu_get_token(pdu.get());
  message.token.assign(token.s, token.s + token.length);
  message.options = ReadOptions(pdu.get());
  std::size_t size = 0;
  const std::uint8_t* data = nullptr;
  if (coap_get_data(pdu.get(), &size, &data) != 0) {
    message.payload.assign(data, data + size);
  }
  return message;
}

std::optional<Bytes> Encode(const Message& message,
                            LastReason<CoapError>& reason) {
  if (message.token.size() > kMaxTokenBytes) {
    reason.Set(CoapError::kMalformed, "token");
    return std::nullopt;
  }
  Bytes out;
  out.reserve(kMaxMessageBytes);
  out.push_back(static_cast<std::uint8_t>(
      kVersionBits | static_cast<int>(message.type) << kTypeShift |
      static_cast<int>(message.token.size())));
  out.push_back(static_cast<std::uint8_t>(message.code));
  out.push_back(static_cast<std::uint8_t>(message.message_id >> 8));
  out.push_back(static_cast<std::uint8_t>(message.message_id));
  out.insert(out.end(), message.token.begin(), message.token.end());
  if (!AppendOptions(message, out)) {
    reason.Set(CoapError::kMalformed, "options");
    return std::nullopt;
  }
  if (!message.payload.empty()) {
    out.push_back(kPayloadMarker);
    out.insert(out.end(), message.payload.begin(), message.payload.end());
  }
  if (out.size() <= kMaxMessageBytes) return out;
  reason.Set(CoapError::kTooLarge);
  return std::nullopt;
}

}  // namespace cowslip::coap
