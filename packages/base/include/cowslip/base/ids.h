#pragma once

#include <compare>
#include <cstdint>
#include <type_traits>

namespace cowslip {

/// Id of a service. It stays the same across tickets and is part of every
/// frame.
enum class ServiceId : std::uint32_t {};
/// Id of an upstream, unique within the deployment. It stays the same across
/// restarts.
enum class UpstreamId : std::uint32_t {};
/// Id of a balancer, unique within the deployment.
enum class BalancerId : std::uint32_t {};
/// Number of one run of an upstream, incremented with every restart.
enum class Incarnation : std::uint64_t {};
/// Number of a ticket, which is a version of the configuration; 0 means that no
/// ticket is in force.
enum class TicketNumber : std::uint64_t {};

/// @return the underlying integer of an id.
template <typename Id>
constexpr auto Raw(Id id) {
  return static_cast<std::underlying_type_t<Id>>(id);
}

}  // namespace cowslip
