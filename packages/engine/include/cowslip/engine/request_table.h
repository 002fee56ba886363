#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/coap.h"
#include "cowslip/flow.h"

namespace cowslip::engine {

/// Whether a request was noted.
enum class RequestAdded : std::uint8_t {
  kNew,
  kRepeated,  ///< The same message is in progress.
  kRenewed,   ///< The observation of this token goes on.
  kFull,
};

/// What becomes of a response of the upstream.
enum class ResponseMatch : std::uint8_t {
  kFirst,   ///< Ends a wait: pass it on.
  kAgain,   ///< A notification or a retransmission: pass it on.
  kForeign  ///< Late, doubled or unasked for: drop it.
};

/// The requests beside permits, by flow and token, and the answers expected.
///
/// A request waits for its first response until its deadline. An observation
/// (RFC 7641) then expects notifications until it ends; any other request stays
/// for kLinger, so that the upstream's retransmissions of a confirmable
/// response reach the caller, and no other response does.
class RequestTable {
 public:
  /// MAX_TRANSMIT_SPAN of RFC 7252 section 4.8.2.
  static constexpr std::chrono::seconds kLinger{45};

  /// A request that was not answered.
  struct Waiting {
    flow::FlowSlot slot{};
    Bytes datagram;
    TimePoint deadline{};
    flow::Work work;
  };

  /// @param capacity requests; further ones are refused.
  explicit RequestTable(std::size_t capacity) : capacity_(capacity) {}

  RequestAdded Add(flow::FlowSlot slot, const coap::Message& request,
                   ByteView datagram, TimePoint deadline);
  /// Notes that a new request was given to the upstream.
  void SetWork(flow::FlowSlot slot, const Bytes& token, const flow::Work& work);
  /// Lets the upstream's retransmissions of a response pass.
  void AddAnswered(flow::FlowSlot slot, const coap::Message& response,
                   TimePoint now);
  /// @param work receives what the request cost, if this ends its wait.
  ResponseMatch OnResponse(flow::FlowSlot slot, const coap::Message& response,
                           TimePoint now, flow::Work& work);

  /// Removes all requests of a flow.
  /// @return those that wait.
  std::vector<Waiting> TakeAll(flow::FlowSlot slot);
  /// Removes one request if it waits.
  std::optional<Waiting> TakeWaiting(flow::FlowSlot slot, const Bytes& token);
  /// Removes what has expired.
  /// @return the number of requests whose deadline passed without an answer.
  std::size_t Expire(TimePoint now);

  /// @return whether the flow has a request that waits or an observation.
  bool IsBusy(flow::FlowSlot slot) const;
  std::size_t waiting() const { return waiting_; }
  std::size_t size() const { return entries_.size(); }

 private:
  enum class Stage : std::uint8_t { kWaiting, kObserved, kAnswered };
  struct Key {
    flow::FlowSlot slot{};
    Bytes token;

    auto operator<=>(const Key&) const = default;
  };
  struct Entry {
    Stage stage = Stage::kWaiting;
    bool observes = false;
    std::uint16_t message_id = 0;  ///< Of the request, then of its response.
    Bytes datagram;                ///< While it waits.
    TimePoint expires{};
    flow::Work work;
  };
  struct Age {
    TimePoint expires;
    Key key;
  };
  using Entries = std::map<Key, Entry>;

  void SetExpiry(const Key& key, Entry& entry, TimePoint expires);
  void Answered(const Key& key, Entry& entry, const coap::Message& response,
                TimePoint now);

  std::size_t capacity_;
  Entries entries_;
  std::deque<Age> ages_;    ///< Of waiting requests, by deadline.
  std::deque<Age> linger_;  ///< Of answered ones.
  std::size_t waiting_ = 0;
};

}  // namespace cowslip::engine
