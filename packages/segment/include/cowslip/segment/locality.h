#pragma once

#include <cstdint>

namespace cowslip::segment {

/// Where a member is, seen from a balancer.
enum class Locality : std::uint8_t {
  kUnknown,  ///< The data centre of one of them is not known.
  kOwn,      ///< In the balancer's data centre.
  kOther,    ///< In another data centre.
};

}  // namespace cowslip::segment
