#include "standins/caller/coap_client.h"

#include <algorithm>
#include <array>

namespace cowslip::standin {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Upper limit of one call of libcoap's event loop.
constexpr milliseconds kMaxWait{100};
constexpr std::size_t kMaxTokenBytes = 8;
/// Longer segments of a path are truncated.
constexpr std::size_t kSegmentBytes = 256;

void AddOption(coap_optlist_t*& list, std::uint16_t number,
               std::string_view value) {
  coap_insert_optlist(&list,
                      coap_new_optlist(number, value.size(), ToBytes(value)));
}

/// Adds a Uri-Path option per path segment, and a Uri-Query option.
/// @param target path, optionally followed by a question mark and a query.
void AddTarget(coap_optlist_t*& list, std::string_view target) {
  const auto mark = std::min(target.find('?'), target.size());
  auto path = target.substr(0, mark);
  while (!path.empty()) {
    const auto end = std::min(path.find('/'), path.size());
    const auto segment = path.substr(0, std::min(end, kSegmentBytes));
    if (!segment.empty()) AddOption(list, COAP_OPTION_URI_PATH, segment);
    path.remove_prefix(std::min(end + 1, path.size()));
  }
  if (mark == target.size()) return;
  AddOption(list, COAP_OPTION_URI_QUERY, target.substr(mark + 1));
}

/// @return the code as "class.detail", such as "2.05".
std::string CodeText(coap_pdu_code_t code) {
  const unsigned number = code;
  const unsigned detail = number & 31U;
  return std::to_string(number >> 5U) + "." + (detail < 10 ? "0" : "") +
         std::to_string(detail);
}

std::optional<std::string> Option(const coap_pdu_t* message,
                                  coap_option_num_t number) {
  coap_opt_iterator_t iterator;
  const coap_opt_t* option = coap_check_option(message, number, &iterator);
  if (option == nullptr) return std::nullopt;
  return std::string(reinterpret_cast<const char*>(coap_opt_value(option)),
                     coap_opt_length(option));
}

std::string Hex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

/// @return false for a single block of a larger body. libcoap delivers such a
/// block to the handler if it has no state, or no longer any, for the transfer.
bool IsComplete(const coap_pdu_t* message) {
  constexpr unsigned kSmallestBlockBits = 4;
  coap_block_t block{};
  if (coap_get_block(message, COAP_OPTION_BLOCK2, &block) == 0) return true;
  const std::size_t bytes_before = std::size_t{block.num}
                                   << (block.szx + kSmallestBlockBits);
  const bool has_earlier_blocks =
      block.num == 0 || Payload(message).size() > bytes_before;
  return block.m == 0 && has_earlier_blocks;
}

CoapResponse ToResponse(const coap_pdu_t* message) {
  constexpr unsigned kFirstErrorClass = 4;
  const auto code = coap_pdu_get_code(message);
  CoapResponse response;
  response.code = CodeText(code);
  response.is_error = (static_cast<unsigned>(code) >> 5U) >= kFirstErrorClass;
  response.payload = Payload(message);
  response.etag = Hex(Option(message, COAP_OPTION_ETAG).value_or(""));
  if (const auto observe = Option(message, COAP_OPTION_OBSERVE)) {
    response.observe =
        coap_decode_var_bytes(ToBytes(*observe), observe->size());
  }
  return response;
}

std::string FailureText(coap_nack_reason_t reason) {
  switch (reason) {
    case COAP_NACK_TOO_MANY_RETRIES:
      return "too_many_retries";
    case COAP_NACK_RST:
      return "reset";
    case COAP_NACK_ICMP_ISSUE:
      return "unreachable";
    default:
      return "not_deliverable";
  }
}

}  // namespace

CoapClient::CoapClient() : context_(coap_new_context(nullptr)) {}

std::unique_ptr<CoapClient> CoapClient::Create(
    const Endpoint& server, const std::optional<Endpoint>& local,
    LastReason<StandinError>& reason) {
  std::unique_ptr<CoapClient> client(new CoapClient());
  coap_context_t* context = client->context_.get();
  coap_context_set_block_mode(context,
                              COAP_BLOCK_USE_LIBCOAP | COAP_BLOCK_SINGLE_BODY);
  coap_set_app_data(context, client.get());
  coap_register_response_handler(context, &OnPdu);
  coap_register_nack_handler(context, &OnNack);
  const auto server_address = ToCoapAddress(server);
  const auto local_address = ToCoapAddress(local.value_or(Endpoint{}));
  client->session_.reset(
      coap_new_client_session(context, local ? &local_address : nullptr,
                              &server_address, COAP_PROTO_UDP));
  if (!client->session_) {
    reason.Set(StandinError::kSystem, "cannot create a CoAP session");
    return nullptr;
  }
  return client;
}

void CoapClient::SetAckTimeout(milliseconds timeout) {
  const auto seconds = timeout.count() / 1000;
  const auto thousandths = timeout.count() % 1000;
  coap_session_set_ack_timeout(session_.get(),
                               {static_cast<std::uint16_t>(seconds),
                                static_cast<std::uint16_t>(thousandths)});
}

bool CoapClient::Send(const CoapRequest& request) {
  coap_session_t* session = session_.get();
  coap_pdu_t* pdu = coap_new_pdu(COAP_MESSAGE_CON, request.method, session);
  if (pdu == nullptr) return false;
  std::array<std::uint8_t, kMaxTokenBytes> token;
  std::size_t token_size = token.size();
  coap_session_new_token(session, &token_size, token.data());
  coap_add_token(pdu, token_size, token.data());
  coap_optlist_t* options = nullptr;
  if (request.observe) AddOption(options, COAP_OPTION_OBSERVE, {});
  AddTarget(options, request.path);
  coap_add_optlist_pdu(pdu, &options);
  const CoapOptionList owner(options);
  if (!request.payload.empty()) {
    coap_add_data(pdu, request.payload.size(), ToBytes(request.payload));
  }
  return coap_send(session, pdu) != COAP_INVALID_MID;
}

std::optional<CoapResponse> CoapClient::Exchange(const CoapRequest& request,
                                                 milliseconds timeout) {
  std::optional<CoapResponse> final_response;
  if (!Send(request)) return std::nullopt;
  ReceiveUntil(Clock::now() + timeout,
               [&final_response](const CoapResponse& response) {
                 final_response = response;
                 return false;
               });
  return final_response;
}

void CoapClient::ReceiveUntil(TimePoint deadline,
                              const OnResponse& on_response) {
  on_response_ = on_response;
  receiving_ = true;
  while (receiving_ && failure_.empty() && Clock::now() < deadline) {
    const auto left = std::chrono::ceil<milliseconds>(deadline - Clock::now());
    const auto wait = std::clamp(left, milliseconds(1), kMaxWait);
    coap_io_process(context_.get(), static_cast<std::uint32_t>(wait.count()));
  }
  on_response_ = nullptr;
}

coap_response_t CoapClient::OnPdu(coap_session_t* session, const coap_pdu_t*,
                                  const coap_pdu_t* received, coap_mid_t) {
  auto& client = *static_cast<CoapClient*>(
      coap_get_app_data(coap_session_get_context(session)));
  // libcoap repeats a request that was challenged with an Echo option itself,
  // once; only a second challenge reaches this handler.
  const bool is_wanted = client.on_response_ && IsComplete(received);
  if (is_wanted) client.receiving_ = client.on_response_(ToResponse(received));
  return COAP_RESPONSE_OK;
}

void CoapClient::OnNack(coap_session_t* session, const coap_pdu_t*,
                        coap_nack_reason_t reason, coap_mid_t) {
  auto& client = *static_cast<CoapClient*>(
      coap_get_app_data(coap_session_get_context(session)));
  client.failure_ = FailureText(reason);
}

}  // namespace cowslip::standin
