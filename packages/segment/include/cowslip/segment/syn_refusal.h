#pragma once

#include <cstdint>

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"
#include "cowslip/segment/pending_packet.h"
#include "cowslip/segment/refused_callers.h"

namespace cowslip::segment {

/// What becomes of a SYN that no member of its list has accepted.
enum class SynOutcome : std::uint8_t {
  kRefuse,     ///< The caller gets a reset: nothing has run.
  kEvacuated,  ///< As kRefuse, as all visited data centres are evacuated.
  kForce,      ///< Goes to one member with capacity, which takes it if it can
               ///< answer before the time limit.
  kWait,       ///< Is offered to the members again a little later.
};

/// Decides whether a SYN is refused or waits for room.
///
/// Load pattern: more callers than all upstreams can answer before their time
/// limits, and callers that were refused and try again at once. A caller that
/// can't be served is told so at once; one that can be is not refused again and
/// again by chance.
class SynRefusal {
 public:
  /// @param ack of the last member of the list.
  /// @param classified whether members decide by a priority or time limit.
  /// @param has_capacity whether some member has reported capacity lately.
  SynOutcome Decide(const PendingPacket& syn, const Ack& ack, bool classified,
                    bool has_capacity, TimePoint now);
  /// @return whether a new SYN gets the forced choice, as its caller was
  /// refused lately.
  bool PrefersForced(const Segment& syn, TimePoint now) const {
    return refused_callers_.WasRefused(syn.flow, RefusedCallers::kLifetime,
                                       now);
  }
  const RefusedCallers& refused_callers() const { return refused_callers_; }

  /// @return whether no transmission of the SYN may still reach an upstream, so
  /// that a reset truly means that nothing ran.
  static bool HasRunNowhere(const PendingPacket& syn, bool classified);

 private:
  RefusedCallers refused_callers_;
};

}  // namespace cowslip::segment
