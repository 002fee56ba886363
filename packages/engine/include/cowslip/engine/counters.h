#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

namespace cowslip::engine {

/// Events counted by balancers and sidecars.
enum class Counter : std::uint8_t {
  kCallerDatagrams,
  kRepliesSent,
  kFramesForwarded,
  kFlowsAdopted,
  kFlowsExpired,
  kFlowsRefused,
  kFlowsPassedOn,
  kWalkHops,
  kRedirectsSent,
  kDropUnknownService,
  kDropWrongService,
  kDropNoUpstream,
  kDropHopLimit,
  kDropUnknownFlow,
  kDropForeignReply,
  kDropMalformed,
  kChallenges,
  kRuns,
  kReplays,
  kOutcomesUnknown,
  kNotRun,
  kProbesSent,
  kSilentSkips,
  kRepliesRetried,
  kHandoversSent,
  kHandoversTaken,
  kRepliesNotKept,
  kRequestsPassedOn,
  kRequestsShed,
  kRequestsRefused,
  kRequestsRetried,
  kRequestsOverdue,
  kTransfersRestarted,
  kUpstreamRefusals,
  kFlowsYielded,
  kFeedsNotTracked,
  kNotificationsRepeated,
  kCount,
};

/// @return the name used in metrics, without prefix and unit.
std::string_view CounterName(Counter counter);

/// Counters of one engine: written by its thread, read by any.
class Counters {
 public:
  void Add(Counter counter, std::uint64_t amount = 1) {
    auto& value = values_[static_cast<std::size_t>(counter)];
    value.store(value.load(std::memory_order_relaxed) + amount,
                std::memory_order_relaxed);
  }
  std::uint64_t Get(Counter counter) const {
    return values_[static_cast<std::size_t>(counter)].load(
        std::memory_order_relaxed);
  }

 private:
  std::array<std::atomic<std::uint64_t>,
             static_cast<std::size_t>(Counter::kCount)>
      values_{};
};

}  // namespace cowslip::engine
