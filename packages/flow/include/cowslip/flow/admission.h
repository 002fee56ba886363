#pragma once

#include <cstdint>
#include <deque>

#include "cowslip/base.h"

namespace cowslip::flow {

/// What an upstream can take, as its sidecar judges it.
struct AdmissionLimits {
  std::uint32_t slots = 1;      ///< Requests run at the same time.
  std::uint32_t max_queue = 0;  ///< Requests waiting beyond the slots.
  Duration slow_start{};        ///< Time after a start until all slots count.
  /// Requests waiting beyond the slots until others are asked.
  std::uint32_t patience = 0;
};

enum class Verdict : std::uint8_t {
  kAdmit,   ///< There is a free slot, or a queue short enough.
  kPassOn,  ///< Busy: another upstream may have room.
  kShed,    ///< Busy and the queue is full.
};

/// A request that an upstream was given.
struct Work {
  TimePoint started{};
  bool queued = false;  ///< All slots were taken.
};

/// Judges new work by the requests in progress at one upstream, by those that
/// were promised a place, and by the upstream's refusals.
class Admission {
 public:
  /// A promise that is not kept within this time no longer counts.
  static constexpr std::chrono::milliseconds kPromiseTime{200};

  Admission(const AdmissionLimits& limits, TimePoint started)
      : limits_(limits), started_(started), ceiling_(limits.slots) {}

  void SetQueue(std::uint32_t max_queue, std::uint32_t patience) {
    limits_.max_queue = max_queue;
    limits_.patience = patience;
  }

  /// @return where a new piece of work should go.
  Verdict Judge(TimePoint now);
  /// A caller was told to come back: a place is kept for it.
  void OnPromised(TimePoint now);
  /// The caller came back.
  /// @param promised when it was told to, to the microsecond.
  void OnPromiseKept(TimePoint promised);
  Work OnStarted(TimePoint now);
  void OnFinished(const Work& work, TimePoint now);
  /// A request ended without telling anything about the service time.
  void OnAbandoned(TimePoint now);
  /// The upstream refused a request: it takes fewer than its slots now.
  void OnRefused();

  std::uint32_t in_progress() const { return in_progress_; }
  /// @return requests in progress and promised.
  std::uint32_t load(TimePoint now);
  /// @return slots that count now; fewer during the slow start and after a
  ///     refusal.
  std::uint32_t usable_slots(TimePoint now) const;
  /// @return the estimated mean time that a request takes on a slot.
  Duration service_time() const { return service_time_; }
  /// @return the time until a further request would get a slot.
  Duration ExpectedWait(TimePoint now);

 private:
  void Learn(Duration sample);

  AdmissionLimits limits_;
  TimePoint started_;
  double ceiling_;
  std::uint32_t in_progress_ = 0;
  std::deque<TimePoint> promises_;
  Duration service_time_{};
  TimePoint busy_since_{};  ///< Latest start or end with all slots taken.
};

}  // namespace cowslip::flow
