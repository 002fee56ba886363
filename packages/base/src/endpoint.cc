#include "cowslip/base/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace cowslip {

std::optional<std::uint32_t> ParseAddress(std::string_view text) {
  in_addr parsed{};
  const std::string terminated(text);
  if (inet_pton(AF_INET, terminated.c_str(), &parsed) != 1) return std::nullopt;
  return ntohl(parsed.s_addr);
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const auto address = ParseAddress(text.substr(0, colon));
  if (!address) return std::nullopt;
  const auto digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto* last = digits.data() + digits.size();
  const auto [end, error] = std::from_chars(digits.data(), last, port);
  if (error != std::errc{} || end != last) return std::nullopt;
  return Endpoint{*address, port};
}

std::string ToString(const Endpoint& endpoint) {
  in_addr raw{};
  raw.s_addr = htonl(endpoint.address);
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &raw, text, sizeof text);
  return std::string(text) + ":" + std::to_string(endpoint.port);
}

}  // namespace cowslip
