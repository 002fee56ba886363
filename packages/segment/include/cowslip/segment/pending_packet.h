#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"
#include "cowslip/segment/segment.h"

namespace cowslip::segment {

/// How far the lookup of a flow's owner has come.
enum class LookupStage : std::uint8_t {
  kFirstVisit,  ///< The packet visits the likeliest members.
  kQuerying,    ///< Waits for the answers of the other members, or of all.
  kVisiting,    ///< The packet visits members that don't know the flow or did
                ///< not answer.
  kAtOwner,     ///< The packet was sent to the member that owns the flow.
};

/// A caller's packet that no sidecar has accepted yet: a SYN, or a packet of a
/// flow whose sidecar is unknown to this balancer.
struct PendingPacket {
  Segment segment;
  SegmentFrame frame;
  Bytes packet;
  /// Index of the candidate that the next resend starts with.
  std::uint8_t next_hop = 0;
  /// Sidecar whose acknowledgement is due, 0 if none.
  InstanceAddress awaiting_ack_from = 0;
  /// The missing acknowledgement counts against the sidecar already.
  bool timeout_noted = false;
  /// Sidecar that the packet was first sent to, for the measurement of the
  /// round trip; 0 once measured or sent there twice.
  InstanceAddress timed_sidecar = 0;
  TimePoint timed_since{};  ///< When it was sent there.
  /// Transmissions after the first one without any response in between.
  int resends = 0;
  /// A transmission ended without an acknowledgement, so a member may have the
  /// packet.
  bool unacknowledged = false;
  /// The SYN was sent to one member with capacity.
  bool was_forced = false;
  /// The SYN was offered to outliers, after all other members.
  bool offered_to_outliers = false;
  /// What these have answered, as in the acknowledgement.
  bool others_overloaded = false;
  bool others_evacuated = true;
  /// Whether the packet has been sent at all.
  bool sent = false;
  LookupStage stage = LookupStage::kFirstVisit;
  /// Identifies the lookup among those of the same flow.
  std::uint64_t lookup = 0;
  /// Ranked members that the first visit covers, including unresponsive ones
  /// that were left out.
  std::size_t candidates_covered = 0;
  /// A member of the first visit did not acknowledge the packet.
  bool first_visit_incomplete = false;
  /// All members were asked, of services too that the route is not known to
  /// have led to.
  bool all_services_asked = false;
  std::uint64_t config = 0;  ///< Route table when the lookup began.
  /// Members to visit, as in OwnerAnswer, and how many were visited.
  std::vector<InstanceAddress> to_visit;
  std::vector<InstanceAddress> to_visit_elsewhere;
  std::size_t visited = 0;
  /// CandidateSelector::removals() when the lookup began.
  std::uint64_t removals_before = 0;
  /// Why some member that was not heard may own the flow, as logged; empty if
  /// the lookup is certain so far.
  std::string_view uncertainty;
  /// Every member has reported once that it doesn't own the flow; they are
  /// asked again to confirm it.
  bool not_found_once = false;
  /// No member owns the flow; it is reset as soon as an upstream has a free
  /// slot for the caller's next attempt.
  bool lost = false;
  /// A resend was logged; later ones of the packet are not.
  bool resend_logged = false;
  TimePoint next_attempt{};  ///< When to send the packet again.
  TimePoint arrival{};       ///< When the packet arrived.

  /// Keeps the first cause that leaves the lookup without certainty. Members
  /// that answer later often are undecided as well, which would hide a member
  /// that does not respond.
  void NoteUncertainty(std::string_view cause) {
    if (uncertainty.empty()) uncertainty = cause;
  }
};

/// Pending packets by flow, at most one for each.
using PendingPackets = std::unordered_map<FlowKey, PendingPacket, FlowKeyHash>;

}  // namespace cowslip::segment
