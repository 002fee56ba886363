#pragma once

#include <cstdint>

#include "cowslip/base.h"
#include "cowslip/link/visited_list.h"

namespace cowslip::link {

/// Type of a frame. Flows belong to upstreams; the sidecar beside an upstream
/// sends and receives its frames.
enum class FrameKind : std::uint8_t {
  kCallerData = 1,       ///< A caller's datagram, towards an upstream.
  kReply,                ///< An upstream's datagram, towards the caller.
  kReplyAck,             ///< Balancer to sidecar: reply was sent to the caller.
  kRedirect,             ///< Sidecar to sidecar: the sender owns the flow.
  kProbe,                ///< Asks the receiver for a kProbeAck.
  kProbeAck,             ///< Answers kProbe, with the same sequence.
  kBalancerLeaving,      ///< Balancer to sidecars: use another one for replies.
  kObservationHandover,  ///< Sidecar to sidecar: observation to continue there.
  kObservationHandoverAck,  ///< The receiver continues the observation.
  kTicketNumber,            ///< Carries only the sender's ticket number.
  kIndirectProbe,           ///< Asks a witness to probe an upstream.
  kIndirectProbeReply,      ///< A witness's result of such a probe.
};
inline constexpr FrameKind kLastFrameKind = FrameKind::kIndirectProbeReply;

/// Bits of FrameHeader::flags. The last two share a bit, since they apply to
/// different kinds of frames.
enum FrameFlag : std::uint8_t {
  kFlagLookupDone = 1 << 0,  ///< Owner lookup ended without an owner.
  kFlagOffloaded = 1 << 1,   ///< Offloaded by a full or draining upstream.
  kFlagNeedsAck = 1 << 2,    ///< kReply: the sender expects a kReplyAck.
  kFlagDelegated = 1 << 3,   ///< One request of a flow owned elsewhere.
  kFlagMustAccept = 1 << 4,  ///< Queue or shed it; never offload.
  kFlagReachable = 1 << 5,   ///< The witness reached the subject.
  kFlagRedirected = 1 << 6,  ///< Forwarded by an upstream with a redirect.
  kFlagLeaving = 1 << 7,     ///< kProbeAck: the sender accepts no new work.
  kFlagMustYield = 1 << 7,   ///< kRedirect: the receiver must give up its flow.
};

/// The upstream with the shortest expected wait among those that offloaded a
/// frame. On an indirect probe and its reply: the subject and the round of the
/// failure confirmation. On a reply: the sender, and in place of a wait the
/// number of its free slots. On a balancer's kCallerData: a hint, the upstream
/// that probably has a free slot.
struct LeastLoaded {
  UpstreamId upstream{};
  std::uint32_t expected_wait_us = 0;  ///< Of that upstream.
};

/// Header of a frame between two processes of the system. Not every kind of
/// frame uses every field.
struct FrameHeader {
  FrameKind kind = FrameKind::kCallerData;
  std::uint8_t flags = 0;
  ServiceId service{};
  TicketNumber ticket{};      ///< In force at the sender.
  std::uint32_t sender = 0;   ///< Raw UpstreamId or BalancerId.
  Incarnation incarnation{};  ///< Of the sending upstream.
  FlowKey flow;
  Endpoint balancer;  ///< Balancer that sends replies to the caller.
  /// Pairs an answer with the frame that it answers. On kRedirect: the age of
  /// the sender's flow in milliseconds. On an indirect probe and its reply:
  /// the incarnation of the subject.
  std::uint64_t sequence = 0;
  VisitedList visited;
  LeastLoaded least_loaded;  ///< All 0 if the sender knows none.
  /// Mean service time of the sending upstream in microseconds, 0 if unknown.
  std::uint32_t service_time_us = 0;

  /// @return whether a flag is set.
  bool Has(FrameFlag flag) const { return (flags & flag) != 0; }
};

/// A decoded frame. The payload refers to the received datagram.
struct Frame {
  FrameHeader header;
  ByteView payload;
};

}  // namespace cowslip::link
