#include "cowslip/engine/request_table.h"

namespace cowslip::engine {

using coap::Message;
using coap::OptionNumber;

namespace {

/// Value of the Observe option in a registration (RFC 7641 section 2).
constexpr std::uint32_t kObserveRegister = 0;

}  // namespace

void RequestTable::SetExpiry(const Key& key, Entry& entry, TimePoint expires) {
  entry.expires = expires;
  auto& ages = entry.stage == Stage::kPending ? deadlines_ : answered_expiries_;
  ages.push_back({expires, key});
}

AddResult RequestTable::Add(flow::FlowSlot slot, const Message& request,
                            ByteView datagram, TimePoint deadline) {
  Key key{slot, request.token};
  const auto found = entries_.find(key);
  const bool exists = found != entries_.end();
  if (exists && found->second.stage == Stage::kPending) {
    return AddResult::kDuplicate;
  }
  const bool observed = exists && found->second.stage == Stage::kObserved;
  if (!exists && entries_.size() >= capacity_) return AddResult::kFull;
  Entry entry;
  entry.observes =
      request.FindUintOption(OptionNumber::kObserve) == kObserveRegister;
  entry.message_id = request.message_id;
  entry.datagram.assign(datagram.begin(), datagram.end());
  SetExpiry(key, entry, deadline);
  entries_.insert_or_assign(std::move(key), std::move(entry));
  ++pending_;
  return observed ? AddResult::kRenewed : AddResult::kNew;
}

void RequestTable::SetTiming(flow::FlowSlot slot, const Bytes& token,
                             const flow::RequestTiming& timing) {
  const auto found = entries_.find({slot, token});
  if (found != entries_.end()) found->second.timing = timing;
}

void RequestTable::AddAnswered(flow::FlowSlot slot, const Message& response,
                               TimePoint now) {
  Key key{slot, response.token};
  const auto found = entries_.find(key);
  if (found == entries_.end() && entries_.size() >= capacity_) return;
  auto& entry = entries_[key];
  if (found != entries_.end() && entry.stage == Stage::kPending) --pending_;
  MarkAnswered(key, entry, response, now);
}

void RequestTable::MarkAnswered(const Key& key, Entry& entry,
                                const Message& response, TimePoint now) {
  entry.stage = Stage::kAnswered;
  entry.message_id = response.message_id;
  entry.datagram.clear();
  SetExpiry(key, entry, now + kAnsweredLifetime);
}

ResponseMatch RequestTable::OnResponse(flow::FlowSlot slot,
                                       const Message& response, TimePoint now,
                                       flow::RequestTiming& timing) {
  const Key key{slot, response.token};
  const auto found = entries_.find(key);
  if (found == entries_.end()) return ResponseMatch::kUnexpected;
  auto& entry = found->second;
  const bool retransmitted = response.type == coap::Type::kCon &&
                             response.message_id == entry.message_id;
  if (entry.stage == Stage::kAnswered) {
    return retransmitted ? ResponseMatch::kRepeated
                         : ResponseMatch::kUnexpected;
  }
  const bool first = entry.stage == Stage::kPending;
  if (first) {
    --pending_;
    timing = entry.timing;
  }
  if (entry.observes &&
      response.FindOption(OptionNumber::kObserve) != nullptr) {
    entry.stage = Stage::kObserved;
    entry.datagram.clear();
    entry.expires = TimePoint::max();
  } else {
    MarkAnswered(key, entry, response, now);
  }
  return first ? ResponseMatch::kFirst : ResponseMatch::kRepeated;
}

std::vector<RequestTable::PendingRequest> RequestTable::TakeAll(
    flow::FlowSlot slot) {
  std::vector<PendingRequest> pending_requests;
  auto it = entries_.lower_bound({slot, {}});
  while (it != entries_.end() && it->first.slot == slot) {
    auto& entry = it->second;
    if (entry.stage == Stage::kPending) {
      pending_requests.push_back(
          {slot, std::move(entry.datagram), entry.expires, entry.timing});
    }
    it = entries_.erase(it);
  }
  pending_ -= pending_requests.size();
  return pending_requests;
}

std::optional<RequestTable::PendingRequest> RequestTable::TakePending(
    flow::FlowSlot slot, const Bytes& token) {
  const auto found = entries_.find({slot, token});
  if (found == entries_.end() || found->second.stage != Stage::kPending) {
    return std::nullopt;
  }
  PendingRequest pending_request{slot, std::move(found->second.datagram),
                                 found->second.expires, found->second.timing};
  entries_.erase(found);
  --pending_;
  return pending_request;
}

std::size_t RequestTable::Expire(TimePoint now) {
  std::size_t overdue = 0;
  for (auto* ages : {&deadlines_, &answered_expiries_}) {
    while (!ages->empty() && ages->front().expires <= now) {
      const auto found = entries_.find(ages->front().key);
      if (found != entries_.end() && found->second.expires <= now) {
        if (found->second.stage == Stage::kPending) ++overdue;
        entries_.erase(found);
      }
      ages->pop_front();
    }
  }
  pending_ -= overdue;
  return overdue;
}

bool RequestTable::IsBusy(flow::FlowSlot slot) const {
  auto it = entries_.lower_bound({slot, {}});
  for (; it != entries_.end() && it->first.slot == slot; ++it) {
    if (it->second.stage != Stage::kAnswered) return true;
  }
  return false;
}

}  // namespace cowslip::engine
