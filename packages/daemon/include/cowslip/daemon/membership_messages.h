#pragma once

#include <variant>

#include "cowslip/base.h"
#include "cowslip/daemon/announcer.h"
#include "cowslip/membership.h"

namespace cowslip::daemon {

/// Read the own announcement.
struct ConfirmLease {
  membership::LeaseCheckId question{};
};

/// Record the death of another upstream.
struct RecordPeerDeath {
  membership::RecordDeath death;
  TimePoint decided{};  ///< An old decision is not carried out.
};

/// Announce a state of the own upstream; a later one replaces it.
struct AnnounceState {
  UpstreamState state{};
};

/// From the traffic thread to the membership thread.
using MembershipRequest =
    std::variant<ConfirmLease, RecordPeerDeath, AnnounceState>;

struct LeaseAnswer {
  membership::LeaseCheckId question{};
  Standing standing{};
  Incarnation incarnation{};  ///< The new one with Standing::kClaimed.
};

struct DeathAnswer {
  membership::RecordDeath death;
  membership::RecordOutcome outcome{};
};

/// What the health endpoint of the upstream said.
struct HealthHint {
  bool healthy = false;
};

/// From the membership thread to the traffic thread.
using MembershipAnswer = std::variant<LeaseAnswer, DeathAnswer, HealthHint>;

}  // namespace cowslip::daemon
