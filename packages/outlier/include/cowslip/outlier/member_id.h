#pragma once

#include <cstdint>

namespace cowslip::outlier {

/// Identifies a member of a service, an upstream with its sidecar.
enum class MemberId : std::uint32_t {};

}  // namespace cowslip::outlier
