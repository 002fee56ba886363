#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cowslip {

/// An IPv4 address and port, both in host byte order.
struct Endpoint {
  std::uint32_t address = 0;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// @param text "a.b.c.d:port".
/// @return std::nullopt if the text is not a numeric IPv4 address and a port.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

/// @param text "a.b.c.d".
/// @return the address in host byte order, std::nullopt if the text is none.
std::optional<std::uint32_t> ParseAddress(std::string_view text);

/// @return "a.b.c.d:port".
std::string ToString(const Endpoint& endpoint);

}  // namespace cowslip
