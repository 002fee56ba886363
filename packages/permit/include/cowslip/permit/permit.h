#pragma once

#include <cstdint>
#include <optional>

#include "cowslip/base.h"
#include "cowslip/permit/permit_error.h"

namespace cowslip::permit {

/// Identifies a permit among those of one incarnation.
enum class PermitNumber : std::uint64_t {};

/// The right to run one non-idempotent request once, at one incarnation of one
/// upstream. A sidecar sends it to the caller in the Echo option of a challenge
/// (RFC 9175), and the caller repeats its request with that option.
struct Permit {
  UpstreamId upstream{};
  Incarnation incarnation{};
  PermitNumber number{};
  TimePoint expires{};  ///< On the clock of the incarnation that issued it.
};

/// Size of an encoded permit; the maximum length of an Echo option.
inline constexpr std::size_t kPermitBytes = 40;

/// Decodes a permit without verifying it. The result is good for routing only.
/// @param echo the value of the Echo option.
std::optional<Permit> DecodePermit(ByteView echo,
                                   LastReason<PermitError>& reason);

}  // namespace cowslip::permit
