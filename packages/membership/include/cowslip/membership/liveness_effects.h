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
struct InquiryId {
  UpstreamId subject{};
  Incarnation incarnation{};  ///< Of the subject.
  std::uint32_t round = 0;    ///< Rises with every inquiry of the reporter.

  bool operator==(const InquiryId&) const = default;
};

/// Ask the sidecar at `to` whether it reaches the subject.
struct AskWitness {
  Endpoint to;
  InquiryId inquiry;
};

/// Answer the reporter at `to`.
struct AnswerReporter {
  Endpoint to;
  InquiryId inquiry;
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
  std::vector<AskWitness> questions;
  std::vector<AnswerReporter> answers;
  std::vector<RecordDeath> records;

  /// Empties the buffers and keeps their memory.
  void Clear() {
    probes.clear();
    questions.clear();
    answers.clear();
    records.clear();
  }
};

/// Outcome of an attempt to record a death.
enum class RecordOutcome : std::uint8_t {
  kWritten,      ///< This process recorded it.
  kAlready,      ///< The incarnation is dead or superseded already.
  kUnavailable,  ///< The store didn't answer.
};

}  // namespace cowslip::membership
