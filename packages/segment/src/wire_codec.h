#pragma once

#include <cstdint>
#include <cstring>
#include <optional>

#include "cowslip/base.h"

namespace cowslip::segment {

/// First word of each datagram, "CWS1", so that unrelated datagrams are
/// rejected.
inline constexpr std::uint32_t kMagic = 0x31535743;

/// Appends a struct of the schema, which has a fixed layout.
template <typename T>
void AppendRaw(const T& value, Bytes& out) {
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(&value);
  out.insert(out.end(), bytes, bytes + sizeof value);
}

/// @return the struct at the start of a datagram, std::nullopt if it is
/// truncated.
template <typename T>
std::optional<T> ReadRaw(ByteView datagram) {
  if (datagram.size() < sizeof(T)) return std::nullopt;
  T value;
  std::memcpy(&value, datagram.data(), sizeof value);
  return value;
}

}  // namespace cowslip::segment
