#pragma once

#include <cstdint>
#include <string_view>

namespace cowslip::segment {

/// Whether a sidecar may accept new connections as far as the evacuation of its
/// data centre is concerned.
enum class DataCenterStatus : std::uint8_t {
  kOpen,
  kEvacuated,
  kUnknown,      ///< It is not known yet whether it is evacuated.
  kUnconfirmed,  ///< It was open before the process was suspended.
};

/// @return why a SYN is not accepted, as it appears in logs.
std::string_view ToString(DataCenterStatus status);

}  // namespace cowslip::segment
