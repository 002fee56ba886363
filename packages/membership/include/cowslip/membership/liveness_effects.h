#pragma once

#include <cstdint>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::membership {

/// Send a probe to the sidecar at `to`; a live one acknowledges it.
struct SendProbe {
  Endpoint to;
};

/// Identifies a FailureConfirmation. The request to a witness carries it and
/// the reply repeats it.
struct ConfirmationId {
  UpstreamId subject{};
  Incarnation incarnation{};  ///< Of the subject.
  std::uint32_t round = 0;    ///< Incremented by a reporter every time.

  bool operator==(const ConfirmationId&) const = default;
};

/// Ask the witness at `to` to probe the subject of a failure confirmation.
struct IndirectProbeRequest {
  Endpoint to;
  ConfirmationId inquiry;
};

/// Reply to the reporter at `to` whether this process reached the subject.
struct IndirectProbeReply {
  Endpoint to;
  ConfirmationId inquiry;
  bool reachable = false;
};

/// Mark the incarnation dead in the store, by compare-and-swap, and pass the
/// outcome to LivenessMonitor::OnRecorded().
struct RecordDeath {
  ServiceId service{};
  UpstreamId subject{};
  Incarnation incarnation{};
};

/// Actions that a LivenessMonitor asks its caller to carry out.
struct LivenessEffects {
  std::vector<SendProbe> probes;
  std::vector<IndirectProbeRequest> probe_requests;
  std::vector<IndirectProbeReply> probe_replies;
  std::vector<RecordDeath> death_records;

  /// Removes all actions and keeps the allocated memory.
  void Clear() {
    probes.clear();
    probe_requests.clear();
    probe_replies.clear();
    death_records.clear();
  }
};

/// Outcome of an attempt to record a death in the store.
enum class RecordOutcome : std::uint8_t {
  kWritten,          ///< This process wrote the record.
  kAlreadyRecorded,  ///< The incarnation was dead or superseded before.
  kUnavailable,      ///< The store didn't answer.
};

}  // namespace cowslip::membership
