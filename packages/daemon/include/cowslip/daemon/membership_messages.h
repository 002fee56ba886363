#pragma once

#include <variant>

#include "cowslip/base.h"
#include "cowslip/daemon/announcement_store.h"
#include "cowslip/membership.h"

namespace cowslip::daemon {

/// Request to check in the store whether the incarnation of this process is
/// still announced.
struct ConfirmLease {
  membership::LeaseCheckId check_id{};
};

/// Request to mark the announcement of another upstream dead.
struct RecordPeerDeath {
  membership::RecordDeath death;
  TimePoint decided_at{};  ///< Requests that are too old are not executed.
};

/// Request to write the state of the upstream of this process to the store. A
/// later request replaces one that is still pending.
struct AnnounceState {
  UpstreamState state{};
};

/// Message from the traffic thread to the membership thread.
using MembershipRequest =
    std::variant<ConfirmLease, RecordPeerDeath, AnnounceState>;

/// Result of ConfirmLease.
struct LeaseResult {
  membership::LeaseCheckId check_id{};
  LeaseStatus status{};
  Incarnation incarnation{};  ///< The new one after kReclaimed.
};

/// Result of RecordPeerDeath.
struct DeathRecordResult {
  membership::RecordDeath death;
  membership::RecordOutcome outcome{};
};

/// Last result of polling the health endpoint of the upstream.
struct HealthHint {
  bool healthy = false;
};

/// Message from the membership thread to the traffic thread.
using MembershipResult =
    std::variant<LeaseResult, DeathRecordResult, HealthHint>;

}  // namespace cowslip::daemon
