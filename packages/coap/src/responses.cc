#include "cowslip/coap/responses.h"

#include <string_view>

namespace cowslip::coap {
namespace {

constexpr std::string_view kOutcomeUnknownText = "outcome unknown";
constexpr std::string_view kUnavailableText = "not run";

void SetPayload(Message& message, std::string_view text) {
  message.payload.assign(text.begin(), text.end());
}

}  // namespace

Message MakeResponse(const Message& request, Code code) {
  Message response;
  response.type = request.type == Type::kCon ? Type::kAck : Type::kNon;
  response.code = code;
  response.message_id = request.message_id;
  response.token = request.token;
  return response;
}

Message MakeChallenge(const Message& request, Bytes echo) {
  auto response = MakeResponse(request, Code::kUnauthorized);
  response.SetOption(OptionNumber::kEcho, std::move(echo));
  return response;
}

Message MakeUnavailable(const Message& request, std::chrono::seconds max_age) {
  auto response = MakeResponse(request, Code::kServiceUnavailable);
  response.SetUintOption(OptionNumber::kMaxAge,
                         static_cast<std::uint32_t>(max_age.count()));
  SetPayload(response, kUnavailableText);
  return response;
}

Message MakeOutcomeUnknown(const Message& request) {
  auto response = MakeResponse(request, Code::kGatewayTimeout);
  SetPayload(response, kOutcomeUnknownText);
  return response;
}

}  // namespace cowslip::coap
