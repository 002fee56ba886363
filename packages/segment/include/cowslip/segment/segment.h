#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "cowslip/base.h"

namespace cowslip::segment {

/// Flows are discarded when older than 60 s, so an instance that has run for
/// longer has seen each open one start, and each route change since.
inline constexpr std::chrono::seconds kMaxFlowAge{70};

/// Identifies a service by a hash of its name.
enum class ServiceTag : std::uint64_t {};

/// @return the tag that balancers and sidecars derive from a service's name.
ServiceTag TagOf(std::string_view service_name);

/// What the decisions need from the header of one packet of a connection.
struct Segment {
  FlowKey flow;  ///< The same for both directions.
  bool syn = false;
  bool ack_flag = false;
  bool fin = false;
  bool rst = false;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  std::uint16_t length = 0;  ///< Bytes of data behind the header.

  /// @return whether this opens a connection.
  bool is_syn() const { return syn && !ack_flag; }
  /// @return sequence number behind the data.
  std::uint32_t end_seq() const { return seq + length; }
};

}  // namespace cowslip::segment
