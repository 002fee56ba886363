#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::experiments {

/// Why a request waited in the queue of its upstream, by the state of all
/// upstreams when its permit was issued. The causes are tested in this order.
enum class WaitCause : std::uint8_t {
  kSlotUnused,  ///< Another upstream had a slot free that nobody had reserved.
  kSlotReserved,  ///< The only unused slots waited for reserved requests.
  kLongerQueue,   ///< All slots ran; another upstream had a shorter wait.
  kAllInUse,      ///< All slots ran; this upstream had the shortest wait.
  kNoPermit,      ///< Its permit was not seen, or was used before.
  kCount
};

/// Number of requests that waited, by cause and by length of the wait.
class WaitTrace {
 public:
  /// Upper limits of the classes of waits in ms; the last class has none.
  static constexpr std::array<int, 4> kLimitsMs{2, 4, 8, 16};

  /// The state of one upstream.
  struct UpstreamState {
    std::uint32_t slots = 1;
    std::uint32_t in_progress = 0;  ///< Requests in slots and in the queue.
    std::uint32_t reserved = 0;     ///< Permits that were not used so far.
    double speed = 1;
  };

  /// @param chosen the index of the upstream that issued the permit.
  static WaitCause Classify(const std::vector<UpstreamState>& upstreams,
                            std::size_t chosen);
  void Add(WaitCause cause, Duration wait);
  /// @param over count only waits longer than this.
  std::uint64_t Count(WaitCause cause, Duration over = {}) const;
  /// @return a table with one line for each cause.
  std::string Table() const;

 private:
  std::array<std::vector<Duration>, static_cast<std::size_t>(WaitCause::kCount)>
      waits_;
};

}  // namespace cowslip::experiments
