#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cowslip {

using Bytes = std::vector<std::uint8_t>;
using ByteView = std::span<const std::uint8_t>;

}  // namespace cowslip
