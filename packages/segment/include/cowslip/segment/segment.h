#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "cowslip/base.h"

namespace cowslip::segment {

/// Longest age of a flow, with a margin: flows older than 60 s are discarded.
/// An instance that has run for longer has seen the start of every open
/// flow, and every route change since.
inline constexpr std::chrono::seconds kMaxFlowAge{70};

/// Identifies a service by a hash of its name.
enum class ServiceTag : std::uint64_t {};

/// @return the tag of a service name; equal on all balancers and sidecars.
ServiceTag TagOf(std::string_view service_name);
/// @return a hash of the name of a data centre, 0 if it is empty.
std::uint64_t DataCenterTag(std::string_view name);

/// Header fields of one packet of a connection (a TCP-like segment).
struct Segment {
  FlowKey flow;  ///< Equal for both directions: the caller comes first.
  bool syn = false;
  bool ack_flag = false;
  bool fin = false;
  bool rst = false;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  std::uint16_t length = 0;  ///< Length of the data after the header, in bytes.

  /// @return whether this is a SYN, which opens a connection (SYN without ACK).
  bool is_syn() const { return syn && !ack_flag; }
  /// @return the sequence number after the data.
  std::uint32_t end_seq() const { return seq + length; }
};

}  // namespace cowslip::segment
