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
struct InquiryId {
  UpstreamId subject{};
  Incarnation incarnation{};  ///< Of the subject.
  std::uint32_t round = 0;    ///< Incremented by a reporter every time.

  bool operator==(const InquiryId&) const = default;
};

/// Ask the witness at `to` to probe the subject of a failure confirmation.
struct AskWitness {
  Endpoint to;
  InquiryId inquiry;
};

/// Reply to the reporter at `to` whether this process reached the subject.
struct AnswerReporter {
  Endpoint to;
  InquiryId inquiry;
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
  std::vector<AskWitness> questions;
  std::vector<AnswerReporter> answers;
  std::vector<RecordDeath> records;

  /// Removes all actions and keeps the allocated memory.
  void Clear() {
    probes.clear();
    questions.clear();
    answers.clear();
    records.clear();
  }
};

/// Outcome of an attempt to record a death in the store.
enum class RecordOutcome : std::uint8_t {
  kWritten,      ///< This process wrote the record.
  kAlready,      ///< The incarnation was dead or superseded before.
  kUnavailable,  ///< The store didn't answer.
};

}  // namespace cowslip::membership
