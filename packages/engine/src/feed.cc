#include "cowslip/engine/feed.h"

#include <algorithm>

namespace cowslip::engine {
namespace {

using coap::Message;
using coap::OptionNumber;
using coap::Type;

/// Compares two Observe numbers, which wrap around (RFC 7641 section 3.4): the
/// later one is ahead by less than half of their range.
bool IsLater(std::uint32_t number, std::uint32_t than) {
  constexpr std::uint32_t kHalf = 1 << 23;
  const auto ahead = (number - than) & Feed::kObserveMask;
  return ahead != 0 && ahead < kHalf;
}

}  // namespace

Observation* Feed::Find(const Bytes& token) {
  const auto found =
      std::find_if(observations.begin(), observations.end(),
                   [&](const auto& o) { return o.request.token == token; });
  return found == observations.end() ? nullptr : &*found;
}

bool Feed::IsHandedOver() const {
  return std::all_of(observations.begin(), observations.end(),
                     [](const auto& o) { return o.handed_over; });
}

std::uint16_t Feed::NextId(std::uint16_t upstream_id) {
  const auto next = last_id_ ? *last_id_ + 1 : upstream_id;
  last_id_ = static_cast<std::uint16_t>(next);
  return *last_id_;
}

/// Rewrites the Observe number of a notification to that of the caller.
/// @return false if the message is the failed answer to a registration that was
///     handed over.
bool Feed::RewriteObserve(Message& message) {
  auto* observation = Find(message.token);
  if (observation == nullptr) return true;
  const auto number = message.FindUintOption(OptionNumber::kObserve);
  if (!number) return observation->observe_offset.has_value();
  if (!observation->observe_offset) {
    observation->observe_offset = observation->last_sent + kNumberGap - *number;
  }
  const auto sent = (*number + *observation->observe_offset) & kObserveMask;
  if (IsLater(sent, observation->last_sent)) observation->last_sent = sent;
  message.SetUintOption(OptionNumber::kObserve, sent);
  return true;
}

Feed::Disposition Feed::RewriteForCaller(Message& message, TimePoint now) {
  if (!RewriteObserve(message)) return Disposition::kSuppress;
  const auto upstream_id = message.message_id;
  if (message.type == Type::kNon) message.message_id = NextId(upstream_id);
  if (message.type != Type::kCon) return Disposition::kSend;
  const bool is_repeated =
      std::any_of(pending_.begin(), pending_.end(), [&](const auto& e) {
        return e.upstream_id == upstream_id &&
               e.message.token == message.token &&
               e.message.payload == message.payload;
      });
  if (is_repeated) return Disposition::kSuppress;
  message.message_id = NextId(upstream_id);
  TrackUnacknowledged(message, upstream_id, now);
  return Disposition::kSend;
}

void Feed::TrackUnacknowledged(const Message& message,
                               std::uint16_t upstream_id, TimePoint now) {
  if (pending_.size() >= kMaxUnacknowledged) pending_.erase(pending_.begin());
  // A newer notification supersedes older ones, which are not retransmitted.
  for (auto& older : pending_) {
    if (older.message.token == message.token) {
      older.retransmit_at = TimePoint::max();
    }
  }
  pending_.push_back({upstream_id,
                      {message.message_id},
                      message,
                      now + kInitialRetransmitDelay});
}

Bytes Feed::RewriteForUpstream(ByteView answer) {
  constexpr std::size_t kIdHigh = 2;
  constexpr std::size_t kIdLow = 3;
  Bytes rewritten(answer.begin(), answer.end());
  const auto answered_id =
      static_cast<std::uint16_t>(rewritten[kIdHigh] << 8 | rewritten[kIdLow]);
  const auto found =
      std::find_if(pending_.begin(), pending_.end(), [&](const auto& e) {
        return std::find(e.sent_ids.begin(), e.sent_ids.end(), answered_id) !=
               e.sent_ids.end();
      });
  if (found == pending_.end()) return rewritten;
  rewritten[kIdHigh] = static_cast<std::uint8_t>(found->upstream_id >> 8);
  rewritten[kIdLow] = static_cast<std::uint8_t>(found->upstream_id);
  pending_.erase(found);
  return rewritten;
}

TimePoint Feed::NextRetransmission() const {
  auto next = TimePoint::max();
  for (const auto& entry : pending_) {
    next = std::min(next, entry.retransmit_at);
  }
  return next;
}

std::vector<Message> Feed::TakeRetransmissions(TimePoint now) {
  std::vector<Message> repeats;
  std::erase_if(pending_, [&](const auto& e) {
    return e.retransmit_at <= now && e.sent_ids.size() > kMaxRetransmits;
  });
  for (auto& entry : pending_) {
    if (entry.retransmit_at > now) continue;
    const auto doubled = kInitialRetransmitDelay * (1 << entry.sent_ids.size());
    entry.retransmit_at = now + std::min(doubled, kMaxRetransmitDelay);
    entry.message.message_id = NextId(0);
    entry.sent_ids.push_back(entry.message.message_id);
    repeats.push_back(entry.message);
  }
  return repeats;
}

}  // namespace cowslip::engine
