// Messages that an instance sends of its own accord: heartbeats, hello messages
// and changes.
#include <algorithm>

#include "cowslip/peers/gossip.h"

namespace cowslip::peers {

std::vector<InstanceAddress> Gossip::OtherBalancers() const {
  auto balancers = table_.Balancers();
  // Until a balancer answers, the seeds may be more up to date than the table.
  if (balancers.empty() || start_.IsStarting(now_) || !connected_) {
    balancers.insert(balancers.end(), seeds_.begin(), seeds_.end());
    std::sort(balancers.begin(), balancers.end());
    balancers.erase(std::unique(balancers.begin(), balancers.end()),
                    balancers.end());
  }
  std::erase(balancers, self_.address);
  return balancers;
}

std::vector<InstanceAddress> Gossip::PickBalancers(std::size_t count) {
  auto balancers = OtherBalancers();
  std::shuffle(balancers.begin(), balancers.end(), random_);
  if (balancers.size() > count) balancers.resize(count);
  return balancers;
}

void Gossip::PublishSelf() {
  ++self_.sequence;
  table_.Merge(self_);
  const auto told = PickBalancers(kDirectFanout);
  for (const auto to : told) {
    auto message = MakeMessage(now_);
    message.entries.push_back(self_);
    message.told = told;
    outgoing_.push_back({to, std::move(message)});
  }
}

void Gossip::SendChanges() {
  if (forwarder_.empty() && broadcast_to_.empty()) return;
  auto changes = forwarder_.Take(table_, OtherBalancers(),
                                 start_.IsStarting(now_), random_);
  // A broadcast takes along what waits for the same balancers.
  std::erase_if(broadcast_to_, [&](InstanceAddress to) {
    auto message = MakeMessage(now_);
    message.cause = broadcast_cause_;
    const auto same = std::ranges::find(changes, to, &ForwardedChanges::to);
    if (same != changes.end()) message.entries = same->entries;
    if (!change_budget_.TryTake(Encode(message).size(), now_)) return false;
    if (same != changes.end()) changes.erase(same);
    outgoing_.push_back({to, std::move(message)});
    return true;
  });
  for (const auto& [to, entries, urgent] : changes) {
    auto message = MakeMessage(now_);
    message.entries = entries;
    message.cause = MessageCause::kForwardedChange;
    const auto reserve = urgent ? 0 : kUrgentReserve;
    if (!change_budget_.TryTake(Encode(message).size(), now_, reserve)) break;
    outgoing_.push_back({to, std::move(message)});
  }
}

void Gossip::BroadcastFor(MessageCause cause) {
  broadcast_to_ = PickBalancers(kForwardFanout);
  broadcast_cause_ = cause;
  SendChanges();
}

void Gossip::OnTick(TimePoint now) {
  now_ = now;
  if (!start_.HoldsChanges(now)) SendChanges();
  SpreadEvacuations(/*relays=*/false);
  if (!concerned_.empty() && now >= second_notice_at_) {
    NotifySidecars();
    concerned_.clear();
  }
  SendRound();
}

void Gossip::SendRound() {
  const bool asks = evacuations_.NeedsAnswer(now_);
  const auto usual = asks ? evacuations_.QueryInterval() : kInterval;
  if (!start_.IsDue(last_heartbeat_, usual, now_)) return;
  last_heartbeat_ = now_;
  const bool asking = start_.asking();
  const bool compares = start_.OnRound(now_);
  if (asking) {
    SendHello();
    return;
  }
  if (asks) evacuations_.OnQuerySent();
  const bool asks_soon = asks && usual < kInterval;
  const auto count = asks_soon ? kDirectFanout : compares ? 1 : kFanout;
  for (const auto to : PickBalancers(count)) {
    auto message = MakeMessage(now_);
    message.want_all = evacuations_.NeedsHello(now_);
    if (compares) {
      message.ranges = table_.Digest(!self_.balancer).Buckets();
      message.want_differing = true;
    }
    // The digests of a balancer include its own entry.
    if (!compares || !self_.balancer) message.entries.push_back(self_);
    outgoing_.push_back({to, std::move(message)});
  }
}

void Gossip::SendHello() {
  const auto balancers = OtherBalancers();
  if (balancers.empty()) return;
  const auto asked = start_.NextToAsk(balancers, random_);
  auto told = PickBalancers(kDirectFanout + 1);
  // The one that is asked is among them.
  if (std::ranges::find(told, asked) == told.end()) told.back() = asked;
  for (const auto to : told) {
    auto message = MakeMessage(now_);
    message.want_all = to == asked;
    message.cause = MessageCause::kHello;
    message.told = told;
    message.entries.push_back(self_);
    outgoing_.push_back({to, std::move(message)});
  }
}

}  // namespace cowslip::peers
