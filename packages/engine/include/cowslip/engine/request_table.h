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

/// Result of RequestTable::Add().
enum class AddResult : std::uint8_t {
  kNew,
  kDuplicate,  ///< A request with this token is pending.
  kRenewed,    ///< Renews the registration of an observation.
  kFull,       ///< The table is full; the request was not added.
};

/// How a response of the upstream relates to the requests in the table.
enum class ResponseMatch : std::uint8_t {
  kFirst,      ///< Answers a pending request: forward it.
  kRepeated,   ///< A notification or a retransmission: forward it.
  kUnexpected  ///< Late, repeated or for no request: drop it.
};

/// The idempotent requests in progress, by flow and token. Decides which
/// responses of the upstream are forwarded to the caller.
///
/// A request is pending until its first response or its deadline. If it
/// registers an observation (RFC 7641), notifications are forwarded until the
/// observation ends. Any other request remains in the table for
/// kAnsweredLifetime after its response, and only retransmissions of that
/// response are forwarded.
class RequestTable {
 public:
  /// MAX_TRANSMIT_SPAN of RFC 7252 section 4.8.2: the upstream may retransmit a
  /// confirmable response for this long.
  static constexpr std::chrono::seconds kAnsweredLifetime{45};

  /// A pending request: it has no response yet.
  struct PendingRequest {
    flow::FlowSlot slot{};
    Bytes datagram;
    TimePoint deadline{};
    flow::RequestTiming timing;
  };

  /// @param capacity the maximum number of requests.
  explicit RequestTable(std::size_t capacity) : capacity_(capacity) {}

  AddResult Add(flow::FlowSlot slot, const coap::Message& request,
                ByteView datagram, TimePoint deadline);
  /// Records when a new request was sent to the upstream.
  void SetTiming(flow::FlowSlot slot, const Bytes& token,
                 const flow::RequestTiming& timing);
  /// Adds an answered request, so that retransmissions of its response are
  /// forwarded.
  void AddAnswered(flow::FlowSlot slot, const coap::Message& response,
                   TimePoint now);
  /// @param work receives that of the request if the response is its first.
  ResponseMatch OnResponse(flow::FlowSlot slot, const coap::Message& response,
                           TimePoint now, flow::RequestTiming& timing);

  /// Removes all requests of a flow.
  /// @return those that were pending.
  std::vector<PendingRequest> TakeAll(flow::FlowSlot slot);
  /// Removes one request if it is pending.
  std::optional<PendingRequest> TakePending(flow::FlowSlot slot,
                                            const Bytes& token);
  /// Removes the entries that have expired.
  /// @return the number of requests whose deadline passed without a response.
  std::size_t Expire(TimePoint now);

  /// @return whether the flow has a pending request or an observation.
  bool IsBusy(flow::FlowSlot slot) const;
  std::size_t pending_count() const { return pending_; }
  std::size_t size() const { return entries_.size(); }

 private:
  enum class Stage : std::uint8_t { kPending, kObserved, kAnswered };
  struct Key {
    flow::FlowSlot slot{};
    Bytes token;

    auto operator<=>(const Key&) const = default;
  };
  struct Entry {
    Stage stage = Stage::kPending;
    bool observes = false;
    std::uint16_t message_id = 0;  ///< Of the request, then of its response.
    Bytes datagram;                ///< The request, while it is pending.
    TimePoint expires{};
    flow::RequestTiming timing;
  };
  struct Expiry {
    TimePoint expires;
    Key key;
  };
  using Entries = std::map<Key, Entry>;

  void SetExpiry(const Key& key, Entry& entry, TimePoint expires);
  void MarkAnswered(const Key& key, Entry& entry, const coap::Message& response,
                    TimePoint now);

  std::size_t capacity_;
  Entries entries_;
  std::deque<Expiry> deadlines_;          ///< Of pending requests, by deadline.
  std::deque<Expiry> answered_expiries_;  ///< Of answered requests, by expiry.
  std::size_t pending_ = 0;
};

}  // namespace cowslip::engine
