#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "cowslip/base.h"

namespace cowslip::ticket {

/// How a service's datagrams are understood.
enum class Protocol : std::uint8_t {
  kDatagram,  ///< Opaque payload: flows are kept, requests are not known.
  kCoap,      ///< RFC 7252: requests, answers and observations are known.
};

/// What a service gives up last when both can't be had.
enum class Preference : std::uint8_t {
  kContinuity,  ///< Flows stay with their upstream.
  kBalance,     ///< New work goes where there is room.
};

/// The whole configuration of one service, as stated by a ticket.
struct Service {
  ServiceId id{};
  std::string name;
  Endpoint address;
  Protocol protocol = Protocol::kDatagram;
  Preference prefer = Preference::kContinuity;
  std::chrono::milliseconds idle_timeout{std::chrono::seconds(120)};
  std::chrono::milliseconds request_timeout{std::chrono::seconds(20)};
  std::uint32_t max_flows = 2000;  ///< Per upstream.
  std::uint32_t max_queue = 16;    ///< Requests waiting per upstream.

  bool operator==(const Service&) const = default;
};

}  // namespace cowslip::ticket
