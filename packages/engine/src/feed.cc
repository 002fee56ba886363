#include "cowslip/engine/feed.h"

#include <algorithm>

namespace cowslip::engine {
namespace {

using coap::Message;
using coap::OptionNumber;
using coap::Type;

/// RFC 7641 section 3.4: numbers compare within half of their range.
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

bool Feed::HandedOver() const {
  return std::all_of(observations.begin(), observations.end(),
                     [](const auto& o) { return o.handed_over; });
}

std::uint16_t Feed::NextId(std::uint16_t upstream_id) {
  const auto next = last_id_ ? *last_id_ + 1 : upstream_id;
  last_id_ = static_cast<std::uint16_t>(next);
  return *last_id_;
}

/// @return false if the message answers a registration without success.
bool Feed::ShiftObserve(Message& message) {
  auto* observation = Find(message.token);
  if (observation == nullptr) return true;
  const auto number = message.FindUintOption(OptionNumber::kObserve);
  if (!number) return observation->shift.has_value();
  if (!observation->shift) {
    observation->shift = observation->last_told + kOverlap - *number;
  }
  const auto told = (*number + *observation->shift) & kObserveMask;
  if (IsLater(told, observation->last_told)) observation->last_told = told;
  message.SetUintOption(OptionNumber::kObserve, told);
  return true;
}

Feed::Outcome Feed::ToCaller(Message& message, TimePoint now) {
  if (!ShiftObserve(message)) return Outcome::kAbsorb;
  const auto upstream_id = message.message_id;
  if (message.type == Type::kNon) message.message_id = NextId(upstream_id);
  if (message.type != Type::kCon) return Outcome::kSend;
  const bool repeated =
      std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& w) {
        return w.upstream_id == upstream_id &&
               w.message.token == message.token &&
               w.message.payload == message.payload;
      });
  if (repeated) return Outcome::kAbsorb;
  message.message_id = NextId(upstream_id);
  Wait(message, upstream_id, now);
  return Outcome::kSend;
}

void Feed::Wait(const Message& message, std::uint16_t upstream_id,
                TimePoint now) {
  if (waiting_.size() >= kMaxWaiting) waiting_.erase(waiting_.begin());
  // A newer notification replaces older ones, which are not repeated.
  for (auto& older : waiting_) {
    if (older.message.token == message.token) {
      older.repeat_at = TimePoint::max();
    }
  }
  waiting_.push_back(
      {upstream_id, {message.message_id}, message, now + kFirstRepeat});
}

Bytes Feed::ToUpstream(ByteView answer) {
  constexpr std::size_t kIdHigh = 2;
  constexpr std::size_t kIdLow = 3;
  Bytes rewritten(answer.begin(), answer.end());
  const auto told =
      static_cast<std::uint16_t>(rewritten[kIdHigh] << 8 | rewritten[kIdLow]);
  const auto found =
      std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& w) {
        return std::find(w.told_ids.begin(), w.told_ids.end(), told) !=
               w.told_ids.end();
      });
  if (found == waiting_.end()) return rewritten;
  rewritten[kIdHigh] = static_cast<std::uint8_t>(found->upstream_id >> 8);
  rewritten[kIdLow] = static_cast<std::uint8_t>(found->upstream_id);
  waiting_.erase(found);
  return rewritten;
}

TimePoint Feed::NextRepeat() const {
  auto next = TimePoint::max();
  for (const auto& waiting : waiting_) {
    next = std::min(next, waiting.repeat_at);
  }
  return next;
}

std::vector<Message> Feed::TakeRepeats(TimePoint now) {
  std::vector<Message> repeats;
  std::erase_if(waiting_, [&](const auto& w) {
    return w.repeat_at <= now && w.told_ids.size() > kMaxRepeats;
  });
  for (auto& waiting : waiting_) {
    if (waiting.repeat_at > now) continue;
    const auto doubled = kFirstRepeat * (1 << waiting.told_ids.size());
    waiting.repeat_at = now + std::min(doubled, kLongestRepeat);
    waiting.message.message_id = NextId(0);
    waiting.told_ids.push_back(waiting.message.message_id);
    repeats.push_back(waiting.message);
  }
  return repeats;
}

}  // namespace cowslip::engine
