#pragma once

#include <compare>
#include <cstdint>
#include <type_traits>

namespace cowslip {

/// Service id: stable across tickets, carried on every frame.
enum class ServiceId : std::uint32_t {};
/// Upstream id: unique within the deployment, stable across restarts.
enum class UpstreamId : std::uint32_t {};
/// Balancer id: unique within the deployment.
enum class BalancerId : std::uint32_t {};
/// Number of one life of an upstream; rises with every restart.
enum class Incarnation : std::uint64_t {};
/// Ticket number; 0 means that no ticket is in force.
enum class TicketNumber : std::uint64_t {};

/// @return the underlying integer of an id.
template <typename Id>
constexpr auto Raw(Id id) {
  return static_cast<std::underlying_type_t<Id>>(id);
}

}  // namespace cowslip
