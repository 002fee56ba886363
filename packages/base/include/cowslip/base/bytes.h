#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cowslip {

/// An owned sequence of bytes.
using Bytes = std::vector<std::uint8_t>;
/// A read-only view of bytes that are owned elsewhere.
using ByteView = std::span<const std::uint8_t>;

}  // namespace cowslip
