#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

namespace cowslip::engine {

/// Events counted by balancers and sidecars. Each enumerator has the name of
/// its metric, see CounterName().
enum class Counter : std::uint8_t {
  kCallerDatagrams,        ///< Received from callers.
  kRepliesSent,            ///< Sent towards callers.
  kFramesForwarded,        ///< Caller datagrams sent on to another sidecar.
  kFlowsAdopted,           ///< Flows accepted: this upstream became the owner.
  kFlowsExpired,           ///< Flows ended by the idle timeout.
  kFlowsRefused,           ///< Flows for which there was no room.
  kFlowsPassedOn,          ///< Flows offloaded to another upstream.
  kWalkHops,               ///< Forwards in owner lookups.
  kRedirectsSent,          ///< Announcements of the owner to other sidecars.
  kDropUnknownService,     ///< No service has the destination address.
  kDropWrongService,       ///< The frame is for another service.
  kDropNoUpstream,         ///< The service has no upstream.
  kDropHopLimit,           ///< The frame's list of visited upstreams is full.
  kDropUnknownFlow,        ///< CoAP acknowledgement or reset without a flow.
  kDropForeignReply,       ///< Response that answers no pending request.
  kDropMalformed,          ///< Not a CoAP message.
  kChallenges,             ///< Permits issued for non-idempotent requests.
  kRuns,                   ///< Permitted requests sent to the upstream.
  kReplays,                ///< Stored outcomes sent for repeated requests.
  kOutcomesUnknown,        ///< Responses saying that a request may have run.
  kNotRun,                 ///< Responses saying that a request did not run.
  kProbesSent,             ///< Probes to sidecars.
  kSilentSkips,            ///< Datagrams that skipped an unresponsive upstream.
  kRepliesRetried,         ///< Replies sent again through another balancer.
  kHandoversSent,          ///< Handover frames sent by a draining sidecar.
  kHandoversTaken,         ///< Observations taken over from another sidecar.
  kRepliesNotKept,         ///< Sent once only: too many are unacknowledged.
  kRequestsPassedOn,       ///< Non-idempotent requests offloaded.
  kRequestsShed,           ///< Idempotent requests refused because of the load.
  kRequestsRefused,        ///< Idempotent requests refused by a full table.
  kRequestsRetried,        ///< Refused by the upstream and sent to another one.
  kRequestsOverdue,        ///< Idempotent requests without an answer in time.
  kTransfersRestarted,     ///< Block-wise downloads that had to start over.
  kUpstreamRefusals,       ///< Datagrams that the upstream's port refused.
  kFlowsYielded,           ///< Flows given up to another owner.
  kFeedsNotTracked,        ///< Observations for which the table was full.
  kNotificationsRepeated,  ///< Unacknowledged notifications sent again.
  kCount,                  ///< Number of counters.
};

/// @return the name used in metrics, without prefix and unit.
std::string_view CounterName(Counter counter);

/// The counters of one engine. Only the thread of the engine may write them;
/// any thread may read them.
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
