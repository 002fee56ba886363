#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <span>

#include "cowslip/base.h"
#include "cowslip/segment/segment.h"

namespace cowslip::segment {

/// Address of an instance of the system; the port is the same on all of them.
using InstanceAddress = std::uint32_t;

/// Longest list of sidecars on a frame. A flow is placed among the first four,
/// and moves back by one place for each member that joins ahead of it.
inline constexpr std::size_t kMaxHops = 12;

/// A caller's packet on its way along a list of sidecars.
struct SegmentFrame {
  std::uint64_t config = 0;  ///< Version of the balancer's routes.
  ServiceTag service{};
  InstanceAddress balancer = 0;
  std::uint8_t place = 0;  ///< Index of the hop that receives the frame.
  std::uint8_t hop_count = 0;
  std::uint8_t asked = 0;  ///< Upstreams that were asked and don't hold it.
  bool forced = false;     ///< All were visited: the least loaded takes it.
  /// A visited sidecar could not tell whether its upstream holds the flow.
  bool inconclusive = false;
  /// The balancer doesn't know the flow's sidecar: it wants to be told.
  bool searched = false;
  /// The sidecars on the list serve services that the route is not known to
  /// have led to: only what they hold is for their upstreams.
  bool other_service = false;
  /// Least expected wait among the visited sidecars, and its place.
  std::uint32_t best_wait_us = UINT32_MAX;
  std::uint8_t best_place = 0;
  std::array<InstanceAddress, kMaxHops> hops{};

  /// @return whether a sidecar is on the list.
  bool Lists(InstanceAddress sidecar) const {
    const auto* end = hops.begin() + hop_count;
    return std::find(hops.begin(), end, sidecar) != end;
  }
};

enum class AckStatus : std::uint8_t {
  kAccepted,      ///< The sender's upstream got the packet.
  kForwarded,     ///< The sender passed the packet on.
  kNotFound,      ///< The list has ended, and nobody on it holds the flow.
  kInconclusive,  ///< The list has ended; some could not tell.
  kProbeReply,    ///< Answer to a probe.
};

/// What a sidecar tells a balancer about a packet, or about itself.
struct Ack {
  AckStatus verdict{};
  bool syn = false;
  bool open = false;         ///< The sender's upstream takes new connections.
  std::uint64_t config = 0;  ///< Newest version that the sender has seen.
  std::uint32_t expected_wait_us = 0;
  std::uint16_t free_slots = 0;  ///< At the sender's upstream.
  FlowKey flow;
  std::uint32_t caller_ack = 0;  ///< Acknowledged by the caller's packet.
  InstanceAddress next = 0;      ///< Who gets a packet that was passed on.
};

enum class FrameKind : std::uint8_t { kSegment = 1, kReceipt = 2, kProbe = 3 };

/// @return the kind of a datagram between instances, if it is one of these.
std::optional<FrameKind> KindOf(ByteView datagram);

/// @param packet set to the caller's packet inside the datagram.
std::optional<SegmentFrame> DecodeSegmentFrame(ByteView datagram,
                                               ByteView& packet);
std::optional<Ack> DecodeAck(ByteView datagram);

void AppendSegmentFrame(const SegmentFrame& frame, ByteView packet, Bytes& out);
void AppendAck(const Ack& receipt, Bytes& out);
void AppendProbe(Bytes& out);

}  // namespace cowslip::segment
