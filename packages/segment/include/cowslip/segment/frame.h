#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>

#include "cowslip/base.h"
#include "cowslip/outlier.h"
#include "cowslip/scheduling.h"
#include "cowslip/segment/segment.h"

namespace cowslip::segment {

/// IPv4 address of an instance in host byte order; the port is the same on all
/// of them.
using InstanceAddress = std::uint32_t;

/// Longest candidate list of a frame. A flow is placed on one of the first four
/// candidates and moves back by one position for each member that joins ahead
/// of it.
inline constexpr std::size_t kMaxHops = 12;

/// Newest form of SegmentFrame that this build understands: 1 has a request
/// class, 2 may have a limit of upstreams that warm up as well.
inline constexpr std::uint8_t kFrameVersion = 2;
inline constexpr std::uint8_t kRequestClassVersion = 1;
inline constexpr std::uint8_t kWarmUpLimitVersion = 2;

/// What the route of a caller's packet says of the request that it belongs to.
struct RequestClass {
  static constexpr std::uint8_t kUnknownPriority = 255;

  std::uint8_t priority = kUnknownPriority;  ///< 0 is the most urgent one.
  /// Time left until the route's time limit; std::nullopt if it has none.
  std::optional<std::chrono::milliseconds> time_limit;

  bool operator==(const RequestClass&) const = default;
};

/// A caller's packet with the ordered list of candidate sidecars (hops) that it
/// is forwarded along.
struct SegmentFrame {
  std::uint64_t config = 0;  ///< Version of the balancer's route table.
  ServiceTag service{};
  InstanceAddress balancer = 0;
  std::uint8_t place = 0;  ///< Index of the hop that receives the frame.
  std::uint8_t hop_count = 0;
  /// Upstreams that were given the packet; of a SYN, sidecars that refused it
  /// because their data centre is evacuated.
  std::uint8_t asked = 0;
  /// No candidate had a free slot: the receiver, which has the least expected
  /// wait, must accept the connection.
  bool forced = false;
  /// A visited sidecar could not determine whether its upstream owns the flow.
  bool inconclusive = false;
  /// The balancer doesn't know the flow's sidecar and needs an acknowledgement.
  bool searched = false;
  /// The candidates serve services that the route is not known to have led to.
  /// A sidecar gives the packet to its upstream only if its flow table holds
  /// the flow.
  bool other_service = false;
  /// A visited upstream accepts connections but would answer too late.
  bool overloaded = false;
  /// Time left until the latency target of the request that the packet belongs
  /// to or that follows a SYN; std::nullopt if the route has none.
  std::optional<std::chrono::milliseconds> time_left;
  /// Class of the request; std::nullopt if it is not known, or if some hop does
  /// not understand frames that have one.
  std::optional<RequestClass> request;
  /// Limit of requests for upstreams of `service` that warm up; std::nullopt if
  /// it is not known, or if some hop does not understand frames that have one.
  std::optional<scheduling::RequestRate> warm_up_limit;
  /// Least expected wait among the visited sidecars, and the index of that hop.
  std::uint32_t best_wait_us = UINT32_MAX;
  std::uint8_t best_place = 0;
  std::array<InstanceAddress, kMaxHops> hops{};

  /// @return whether all candidates of a SYN have refused it because of an
  /// evacuation. Sidecars of builds before evacuations don't count.
  bool AllEvacuated() const { return hop_count > 0 && asked >= hop_count; }
  /// @return whether a sidecar is on the candidate list.
  bool HasHop(InstanceAddress sidecar) const {
    const auto* end = hops.begin() + hop_count;
    return std::find(hops.begin(), end, sidecar) != end;
  }
};

/// Outcome of a frame, or of a probe, in an acknowledgement.
enum class AckStatus : std::uint8_t {
  kAccepted,   ///< Sent to the upstream of the acknowledging sidecar.
  kForwarded,  ///< Forwarded to the sidecar in Ack::next.
  kNotFound,   ///< End of the list: no sidecar on it owns the flow or accepts
               ///< it.
  kInconclusive,  ///< End of the list: some sidecars are undecided.
  kProbeReply,    ///< Response to a probe.
};

/// Acknowledgement that a sidecar sends to a balancer for a frame or a probe;
/// it also carries the sidecar's state.
struct Ack {
  AckStatus verdict{};
  bool syn = false;   ///< The acknowledged packet is a SYN.
  bool open = false;  ///< The sender accepts new connections.
  /// Newest configuration version known to the sender.
  std::uint64_t config = 0;
  std::uint32_t expected_wait_us = 0;
  std::uint16_t free_slots = 0;  ///< Of the sender's upstream.
  /// The SYN ran nowhere: all visited upstreams that accept connections would
  /// answer too late.
  bool overloaded = false;
  /// The SYN ran nowhere: all sidecars of the list refused it because their
  /// data centres are evacuated.
  bool evacuated = false;
  /// Responses of the sender's upstream; share and time are those of the
  /// service address of `flow`. std::nullopt from earlier builds.
  std::optional<outlier::ResponseReport> responses;
  FlowKey flow;
  /// Acknowledgement number of the caller's packet.
  std::uint32_t caller_ack = 0;
  InstanceAddress next = 0;  ///< Sidecar that a forwarded packet was sent to.
};

/// Kinds of datagrams between balancers and sidecars.
enum class FrameKind : std::uint8_t {
  kSegment = 1,
  kReceipt = 2,
  kProbe = 3,
  kClassifiedSegment = 4,  ///< A segment frame with a request class.
  kOwnerQuery = 5,
  kOwnerReply = 6,
  /// A segment frame with a limit of upstreams that warm up.
  kLimitedSegment = 7,
};

/// @return whether a datagram of this kind is for DecodeSegmentFrame().
constexpr bool IsSegmentFrame(std::optional<FrameKind> kind) {
  return kind == FrameKind::kSegment || kind == FrameKind::kClassifiedSegment ||
         kind == FrameKind::kLimitedSegment;
}

/// @return the kind of a datagram, std::nullopt if it is not one of these.
std::optional<FrameKind> KindOf(ByteView datagram);

/// @param packet set to the caller's packet within the datagram.
/// @return std::nullopt if the datagram is truncated or invalid.
std::optional<SegmentFrame> DecodeSegmentFrame(ByteView datagram,
                                               ByteView& packet);
std::optional<Ack> DecodeAck(ByteView datagram);

void AppendSegmentFrame(const SegmentFrame& frame, ByteView packet, Bytes& out);
void AppendAck(const Ack& ack, Bytes& out);
void AppendProbe(Bytes& out);

}  // namespace cowslip::segment
