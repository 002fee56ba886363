#pragma once

#include <cstdint>

#include "cowslip/base.h"
#include "cowslip/link/visited_list.h"

namespace cowslip::link {

/// What a frame carries.
enum class FrameKind : std::uint8_t {
  kCallerData = 1,          ///< A caller's datagram, towards an upstream.
  kReply,                   ///< An upstream's datagram, towards the caller.
  kReplyAck,                ///< Balancer to sidecar: the reply was sent on.
  kRedirect,                ///< Sidecar to sidecar: the sender owns the flow.
  kProbe,                   ///< Asks whether the receiver is alive.
  kProbeAck,                ///< Answers kProbe with its sequence.
  kBalancerLeaving,         ///< Balancer to sidecars: send replies elsewhere.
  kObservationHandover,     ///< Sidecar to sidecar: an observation to continue.
  kObservationHandoverAck,  ///< The observation was taken over.
  kTicketNumber,            ///< Only tells the sender's ticket number.
  kIndirectProbe,           ///< Asks a peer whether it reaches an upstream.
  kIndirectProbeReply,      ///< Answers kIndirectProbe.
};
inline constexpr FrameKind kLastFrameKind = FrameKind::kIndirectProbeReply;

/// Bits of FrameHeader::flags.
enum FrameFlag : std::uint8_t {
  kFlagLookupDone = 1 << 0,  ///< No visited upstream knows the flow.
  kFlagOffloaded = 1 << 1,   ///< A full or draining upstream passed it on.
  kFlagNeedsAck = 1 << 2,    ///< The reply asks for kReplyAck.
  kFlagDelegated = 1 << 3,   ///< Serves one request for the flow's owner.
  kFlagMustAccept =
      1 << 4,               ///< Least-queued choice: queue or shed, no passing.
  kFlagReachable = 1 << 5,  ///< kIndirectProbeReply: the upstream was reached.
  kFlagRedirected = 1 << 6,  ///< Forwarded by an upstream that knows the owner.
  kFlagLeaving = 1 << 7,     ///< kProbeAck: the sender takes no new work.
  kFlagMustYield = 1 << 7,   ///< kRedirect: the receiver gives its flow up.
};

/// The least loaded of the full upstreams that a frame has passed. On
/// kIndirectProbe and kIndirectProbeReply: the subject of the inquiry and its
/// round.
struct LeastLoaded {
  UpstreamId upstream{};
  std::uint32_t expected_wait_us =
      0;  ///< Expected wait there, in microseconds.
};

/// Header of a frame between two processes of the system.
struct FrameHeader {
  FrameKind kind = FrameKind::kCallerData;
  std::uint8_t flags = 0;
  ServiceId service{};
  TicketNumber ticket{};      ///< In force at the sender.
  std::uint32_t sender = 0;   ///< Raw UpstreamId or BalancerId of the sender.
  Incarnation incarnation{};  ///< Of the sending upstream.
  FlowKey flow;
  Endpoint balancer;  ///< Where replies to the caller should go.
  /// Pairs a question with its answer. On kIndirectProbe and
  /// kIndirectProbeReply: the incarnation of the subject.
  std::uint64_t sequence = 0;
  VisitedList visited;
  LeastLoaded least_loaded;  ///< Meaningful with kFlagOffloaded.
  /// Mean service time at the sending upstream, in microseconds; 0: unknown.
  std::uint32_t service_time_us = 0;

  bool Has(FrameFlag flag) const { return (flags & flag) != 0; }
};

/// A decoded frame; the payload views the received datagram.
struct Frame {
  FrameHeader header;
  ByteView payload;
};

}  // namespace cowslip::link
