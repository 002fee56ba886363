#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/scheduling/answer_forecast.h"
#include "cowslip/scheduling/queued_request.h"
#include "cowslip/scheduling/request_order.h"
#include "cowslip/scheduling/slot_table.h"
#include "cowslip/scheduling/warm_up_limiter.h"

namespace cowslip::scheduling {

/// A request that the upstream is given now.
struct ReadyRequest {
  FlowKey flow;
  RequestTerms terms;
  Duration waited{};
  bool waited_for_limit = false;  ///< Of an upstream that warms up.
  std::vector<Bytes> packets;     ///< In the order of their data.
};

/// A request that ended while it waited.
struct DroppedRequest {
  FlowKey flow;
  RequestTerms terms;
  Duration waited{};
  bool waited_for_limit = false;  ///< Of an upstream that warms up.
  std::uint32_t end_seq = 0;      ///< After its last data.
};

/// What becomes of a packet of a request.
enum class PacketOutcome : std::uint8_t {
  kSend,       ///< Goes to the upstream now.
  kHeld,       ///< Waits for a slot.
  kDuplicate,  ///< Is held already and can be dropped.
  /// Does not fit into the memory limits: the request gets a slot now, see
  /// RequestScheduler::TakeNow(). If the limit of an upstream that warms up
  /// does not permit it, the packet can only be dropped; its caller repeats it.
  kNoMemory,
};

/// Holds requests beside their upstream and gives it as many as it has slots,
/// and one more, in the order of RequestOrder; while it warms up, not more than
/// its limit permits.
///
/// Load pattern: more requests than the slots can serve in time. In the queue
/// of the upstream, which serves them as they come, an urgent request waits for
/// all that arrived before.
class RequestScheduler {
 public:
  /// Memory for the packets of one flow.
  static constexpr std::size_t kMaxFlowBytes = 20'000;
  /// Memory of all requests, of the 64 MB that a sidecar has.
  static constexpr std::size_t kMaxBytes = 4'000'000;
  /// Memory that a waiting request takes beside its packets.
  static constexpr std::size_t kRequestOverhead = 192;
  /// Limits the time that a decision takes; the flows of an upstream are fewer.
  static constexpr std::size_t kMaxRequests = 4096;
  /// Longest queue for which a forecast checks which requests would be
  /// displaced. A longer one takes several time limits to serve.
  static constexpr std::size_t kMaxForecastDepth = 256;

  void SetSlots(std::uint32_t slots) { slots_.SetSlots(slots); }
  const SlotTable& slots() const { return slots_; }
  WarmUpLimiter& warm_up() { return warm_up_; }
  const WarmUpLimiter& warm_up() const { return warm_up_; }

  /// A SYN was accepted, so the first request of its flow is due. Takes part in
  /// forecasts only. Ignored beyond kMaxRequests.
  void Announce(const FlowKey& flow, const RequestTerms& terms, TimePoint since,
                TimePoint now);
  /// The announced request did not come. @return whether it was announced.
  bool Withdraw(const FlowKey& flow);

  /// Handles the first packet of a request.
  /// @param since when the request began at its caller.
  /// @return kSend if the upstream has a slot for it, which it then takes.
  PacketOutcome Submit(const FlowKey& flow, const RequestTerms& terms,
                       TimePoint since, const DataPacket& packet,
                       TimePoint now);
  /// Handles a further packet of a request that waits.
  PacketOutcome Hold(const FlowKey& flow, const DataPacket& packet);
  /// The upstream is given a request without waiting.
  void Start(const FlowKey& flow, const RequestTerms& terms, TimePoint now);
  /// Gives a waiting request a slot, whether one is free or not.
  /// @return std::nullopt if the flow has no waiting request, or if the limit
  /// of an upstream that warms up does not permit it.
  std::optional<ReadyRequest> TakeNow(const FlowKey& flow, TimePoint now);
  /// Gives a free slot to the request that is first in the order. Requests that
  /// can no longer be answered before their time limits get none, see
  /// DropUnanswerable().
  /// @return std::nullopt if there is no slot, no such request, or if the limit
  /// of an upstream that warms up does not permit it.
  std::optional<ReadyRequest> TakeNext(TimePoint now, Duration service_time);

  /// Frees the slot of a flow. @return whether it had one.
  bool Free(const FlowKey& flow) { return slots_.Free(flow); }
  /// Frees the slots that have been taken for a whole time limit.
  /// @return the flows that had them.
  std::vector<FlowKey> FreeOverdue(TimePoint now) {
    return slots_.FreeOverdue(now);
  }
  /// Removes the waiting request of a flow. @return it, if there was one.
  std::optional<DroppedRequest> Remove(const FlowKey& flow, TimePoint now);
  /// Removes the waiting requests that can no longer be answered before their
  /// time limits.
  std::vector<DroppedRequest> DropUnanswerable(TimePoint now,
                                               Duration service_time);
  /// The upstream has restarted: all slots are free, all requests are dropped.
  /// @param keeps whether the flow of a request is one of the new process, so
  /// that the request stays.
  template <typename Keeps>
  std::vector<DroppedRequest> Reset(TimePoint now, const Keeps& keeps) {
    std::vector<DroppedRequest> dropped;
    for (auto entry = queue_.begin(); entry != queue_.end();) {
      if (keeps(entry->first)) {
        ++entry;
        continue;
      }
      if (!entry->second.is_announced()) {
        dropped.push_back(ToDropped(entry->second, now));
      }
      entry = Erase(entry);
    }
    slots_.Clear();
    return dropped;
  }

  /// @return what would become of a request that an upstream accepted now.
  AnswerForecast Forecast(const RequestTerms& terms, TimePoint since,
                          TimePoint now, Duration service_time) const;
  /// @return how many further requests would be answered within a time.
  std::uint32_t CapacityWithin(Duration time, Duration service_time,
                               TimePoint now) const;
  /// @return how many further requests the limit of an upstream that warms up
  /// permits to begin within a time; UINT32_MAX if it has none now.
  std::uint32_t PermittedWithin(Duration time, TimePoint now) const;
  /// @return the time until a further request is permitted once those that wait
  /// or are announced have been given; 0 if the upstream has no limit now.
  Duration LimitWait(TimePoint now) const {
    return warm_up_.Wait(now, queue_.size());
  }
  /// @return when a request can be taken that waits only for the limit of an
  /// upstream that warms up; std::nullopt if there is none.
  std::optional<TimePoint> NextPermitted(TimePoint now) const;
  /// @return whether a slot is idle while a request waits that could have it.
  bool WastesSlot(TimePoint now) const {
    return slots_.HasIdleSlot() && waiting() > 0 && !NextPermitted(now);
  }
  bool IsWaiting(const FlowKey& flow) const;
  /// @return requests that wait, without those that are only announced.
  std::size_t waiting() const { return queue_.size() - announced_; }
  /// @return requests that wait or are announced.
  std::size_t queued() const { return queue_.size(); }
  /// @return memory that the waiting requests take.
  std::size_t bytes() const { return bytes_; }

 private:
  using Queue = std::unordered_map<FlowKey, QueuedRequest, FlowKeyHash>;

  static std::size_t SizeOf(const QueuedRequest& request) {
    return kRequestOverhead + request.packets.bytes();
  }
  DroppedRequest ToDropped(const QueuedRequest& request, TimePoint now) const;
  Queue::iterator Erase(Queue::iterator entry);
  /// @param takes_late whether requests that can't meet their target count.
  Queue::iterator FindNext(const RequestOrder& order, bool takes_late);
  ReadyRequest Take(Queue::iterator entry, TimePoint now);
  /// @return whether the limit permits a request; if not, notes that it keeps a
  /// slot from being used.
  bool CheckLimit(TimePoint now);
  bool WaitedForLimit(const QueuedRequest& request) const {
    return limited_at_ && request.arrival <= *limited_at_;
  }
  /// @return the time in which the last of a number of requests is answered.
  /// Slots may become free all at once, so the last requests of the queue wait
  /// for whole rounds.
  Duration AnswerTimeOf(std::size_t requests, Duration service_time) const;
  /// @return the time in which a request is answered that comes behind others.
  /// @param ahead requests in progress and waiting ahead of it.
  /// @param waiting those of them that wait.
  Duration AnswerTimeBehind(const QueuedRequest& request,
                            const RequestOrder& order, std::size_t ahead,
                            std::size_t waiting, TimePoint now,
                            Duration service_time) const;

  SlotTable slots_;
  WarmUpLimiter warm_up_;
  /// When the limit last kept a slot from being used.
  std::optional<TimePoint> limited_at_;
  Queue queue_;
  std::size_t announced_ = 0;
  std::size_t bytes_ = 0;
};

}  // namespace cowslip::scheduling
