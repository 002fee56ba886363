#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "cowslip/base.h"

namespace cowslip::ticket {

/// Application protocol of a service's datagrams.
enum class Protocol : std::uint8_t {
  kDatagram,  ///< Opaque payload: only flows are tracked.
  kCoap,      ///< RFC 7252: requests, answers and observations too.
};

/// Which of two goals takes precedence in a service if they conflict.
enum class Preference : std::uint8_t {
  kContinuity,  ///< Flows stay at their upstream.
  kBalance,     ///< New work goes to upstreams with free capacity.
};

/// Complete configuration of one service, as a ticket states it.
struct Service {
  ServiceId id{};
  std::string name;
  Endpoint address;
  Protocol protocol = Protocol::kDatagram;
  Preference prefer = Preference::kContinuity;
  std::chrono::milliseconds idle_timeout{std::chrono::seconds(120)};
  std::chrono::milliseconds request_timeout{std::chrono::seconds(20)};
  std::uint32_t max_flows = 2000;  ///< Per upstream.
  std::uint32_t max_queue = 16;    ///< Waiting requests per upstream.

  bool operator==(const Service&) const = default;
};

}  // namespace cowslip::ticket
