#pragma once

#include <cstdint>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::membership {

/// Ask the sidecar at `to` whether it is alive.
struct SendProbe {
  Endpoint to;
};

/// Names a death inquiry; question and answer carry it.
struct ConfirmationId {
  UpstreamId subject{};
  Incarnation incarnation{};  ///< Of the subject.
  std::uint32_t round = 0;    ///< Rises with every inquiry of the reporter.

  bool operator==(const ConfirmationId&) const = default;
};

/// Ask the sidecar at `to` whether it reaches the subject.
struct IndirectProbeRequest {
  Endpoint to;
  ConfirmationId inquiry;
};

/// Answer the reporter at `to`.
struct IndirectProbeReply {
  Endpoint to;
  ConfirmationId inquiry;
  bool reachable = false;
};

/// Record the death by compare-and-swap on the incarnation, and report the
/// outcome to LivenessMonitor::OnRecorded().
struct RecordDeath {
  ServiceId service{};
  UpstreamId subject{};
  Incarnation incarnation{};
};

/// What a LivenessMonitor wants done.
struct LivenessEffects {
  std::vector<SendProbe> probes;
  std::vector<IndirectProbeRequest> probe_requests;
  std::vector<IndirectProbeReply> probe_replies;
  std::vector<RecordDeath> death_records;

  /// Empties the buffers and keeps their memory.
  void Clear() {
    probes.clear();
    probe_requests.clear();
    probe_replies.clear();
    death_records.clear();
  }
};

/// Outcome of an attempt to record a death.
enum class RecordOutcome : std::uint8_t {
  kWritten,          ///< This process recorded it.
  kAlreadyRecorded,  ///< The incarnation is dead or superseded already.
  kUnavailable,      ///< The store didn't answer.
};

}  // namespace cowslip::membership
