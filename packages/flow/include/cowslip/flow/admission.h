#pragma once

#include <cstdint>

#include "cowslip/base.h"

namespace cowslip::flow {

/// What an upstream can take, as its sidecar judges it.
struct AdmissionLimits {
  std::uint32_t slots = 1;      ///< Requests run at the same time.
  std::uint32_t max_queue = 0;  ///< Requests waiting beyond the slots.
  Duration slow_start{};        ///< Time after a start until all slots count.
};

enum class Verdict : std::uint8_t {
  kAdmit,   ///< There is a free slot.
  kPassOn,  ///< Busy: another upstream may have room.
  kShed,    ///< Busy and the queue is full.
};

/// Counts requests in progress against the slots of one upstream.
class Admission {
 public:
  Admission(const AdmissionLimits& limits, TimePoint started)
      : limits_(limits), started_(started) {}

  /// @return where a new piece of work should go.
  Verdict Judge(TimePoint now) const;
  void OnStarted() { ++in_progress_; }
  void OnFinished() {
    if (in_progress_ > 0) --in_progress_;
  }

  std::uint32_t in_progress() const { return in_progress_; }
  /// @return requests waiting for a slot.
  std::uint32_t queued(TimePoint now) const;
  /// @return slots that count now; fewer during the slow start.
  std::uint32_t usable_slots(TimePoint now) const;

 private:
  AdmissionLimits limits_;
  TimePoint started_;
  std::uint32_t in_progress_ = 0;
};

}  // namespace cowslip::flow
