#pragma once

#include <cstdint>
#include <optional>

#include "cowslip/base.h"
#include "cowslip/permit/permit_error.h"

namespace cowslip::permit {

/// Identifies one permit of one incarnation.
enum class PermitNumber : std::uint64_t {};

/// The right to run one request once, on one incarnation of one upstream.
struct Permit {
  UpstreamId upstream{};
  Incarnation incarnation{};
  PermitNumber number{};
  TimePoint expires{};  ///< On the clock of the incarnation that issued it.
};

/// Size of an encoded permit; the most that an Echo option carries.
inline constexpr std::size_t kPermitBytes = 40;

/// Reads whom a permit names, without verifying it; enough to route by.
std::optional<Permit> ReadPermit(ByteView echo,
                                 LastReason<PermitError>& reason);

}  // namespace cowslip::permit
