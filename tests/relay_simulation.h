#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cowslip/relay.h"

namespace cowslip::relay {

/// Simulation of nodes, the streams between them and a store in virtual time.
class RelaySimulation {
 public:
  using Action = std::function<void()>;

  explicit RelaySimulation(std::uint64_t seed) : random_(seed), seed_(seed) {}

  std::size_t Add(NodeOptions options) {
    options.self.control = {1, static_cast<std::uint16_t>(members_.size() + 1)};
    options.seed = seed_ + members_.size();
    members_.push_back({});
    members_.back().options = options;
    Start(members_.size() - 1);
    return members_.size() - 1;
  }
  std::size_t AddBalancer(const std::string& data_center = "callao") {
    NodeOptions options;
    options.self = {"b" + std::to_string(members_.size()), data_center, {}};
    options.seeds = seeds;
    return Add(options);
  }
  std::size_t AddSidecar(ServiceId service) {
    NodeOptions options;
    options.self = {"s" + std::to_string(members_.size()), "callao", {}};
    options.leaf = true;
    options.interest = {false, {service}};
    options.seeds = seeds;
    return Add(options);
  }
  /// Starts or restarts a node without any state; its old streams end.
  void Start(std::size_t i) {
    auto& member = members_[i];
    ++member.generation;
    EndStreams(i);
    member.watching = false;
    member.node = std::make_unique<Node>(member.options, now_);
    ScheduleTick(i);
  }
  void Submit(const std::string& author = "quispe") {
    const auto number = tickets_.size() + 1;
    tickets_.push_back(
        {TicketNumber(number), false, TicketYaml(number, author)});
    ++index_;
    if (!store_down) NotifyWatchers();
  }
  void Write(const std::string& key, const std::string& value) {
    items_[key] = {key, value, {0, ++index_}};
    if (!store_down) NotifyWatchers();
  }
  void Erase(const std::string& key) {
    items_.erase(key);
    ++index_;
    if (!store_down) NotifyWatchers();
  }
  /// Contents of the store at some time.
  struct StoreCopy {
    std::vector<TicketText> tickets;
    std::map<std::string, StoreEntry> items;
    std::uint64_t index = 0;
  };
  StoreCopy CopyStore() const { return {tickets_, items_, index_}; }
  /// Replaces the contents by an older copy. Indexes continue from there.
  void RestoreStore(const StoreCopy& copy) {
    tickets_ = copy.tickets;
    items_ = copy.items;
    index_ = copy.index;
    if (!store_down) NotifyWatchers();
  }
  /// @return whether a node holds what the store holds.
  bool HasContentsOfStore(std::size_t i) {
    const auto& held = members_[i].node->items().items();
    for (const auto& [key, entry] : held) {
      const auto stored = items_.find(key);
      const auto value = stored == items_.end() ? "" : stored->second.value;
      if (entry.value != value) return false;
    }
    return std::ranges::all_of(
        items_, [&](const auto& item) { return held.contains(item.first); });
  }
  void SetStoreDown(bool on) {
    store_down = on;
    if (!on) NotifyWatchers();
  }
  void Run(std::chrono::milliseconds span) {
    const auto end = now_ + span;
    while (!events_.empty() && events_.top().at <= end) {
      auto event = events_.top();
      events_.pop();
      now_ = event.at;
      Deliver(event);
    }
    now_ = end;
  }
  /// @return time until all nodes have the ticket in force, or the limit.
  std::chrono::milliseconds RunUntil(std::uint64_t ticket,
                                     std::chrono::milliseconds limit) {
    constexpr std::chrono::milliseconds kStep{10};
    std::chrono::milliseconds spent{0};
    while (spent < limit && CountWithTicket(ticket) < members_.size()) {
      Run(kStep);
      spent += kStep;
    }
    return spent;
  }
  std::size_t CountWithTicket(std::uint64_t ticket) const {
    return static_cast<std::size_t>(std::count_if(
        members_.begin(), members_.end(), [&](const auto& member) {
          return Raw(member.node->tickets().number()) == ticket;
        }));
  }
  std::size_t Watchers() const {
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(),
                      [](const auto& member) { return member.watching; }));
  }
  /// @return whether all nodes have the tickets of the store in force.
  bool AllHaveTicketsOfStore() {
    ticket::TicketState state;
    LastReason<ticket::TicketError> reason;
    for (const auto& text : tickets_) {
      const auto parsed = ticket::ParseTicket(text.text, "store", reason);
      state = state.Apply(*parsed, reason).value();
    }
    return std::ranges::all_of(members_, [&](const auto& member) {
      const auto& held = member.node->tickets().state();
      return held.number() == state.number() &&
             held.services() == state.services();
    });
  }
  Node& node(std::size_t i) { return *members_[i].node; }
  std::size_t size() const { return members_.size(); }
  void Pause(std::size_t i, bool on) { members_[i].paused = on; }
  void Notice(std::size_t i, std::uint64_t ticket) {
    Post(i, now_, [this, i, ticket] {
      members_[i].node->OnTicketAnnounced(TicketNumber(ticket), now_, effects_);
    });
  }
  void CutFromStore(std::size_t i) { members_[i].cut = true; }
  const std::map<std::string, StoreEntry>& items() const { return items_; }

  bool store_down = false;
  double duplicate_share = 0;  ///< Of messages, which arrive a second time.
  std::vector<Endpoint> seeds;
  std::uint64_t store_calls = 0;
  std::uint64_t messages = 0;
  std::uint64_t message_bytes = 0;
  bool ticket_decreased = false;  ///< A node's ticket position decreased.

 private:
  /// A node and the state of its process.
  struct Member {
    NodeOptions options;
    std::unique_ptr<Node> node;
    std::uint64_t generation = 0;
    bool watching = false;
    bool paused = false;
    bool cut = false;
    TicketPosition highest_ticket;
    /// The member and stream at the other end of each stream.
    std::map<StreamId, std::pair<std::size_t, StreamId>> ends;
  };
  /// An action at a time; dropped if the member was restarted since.
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::size_t member = 0;
    std::uint64_t generation = 0;
    Action action;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  static std::string TicketYaml(std::uint64_t number,
                                const std::string& author) {
    return "ticket: " + std::to_string(number) + "\nauthor: " + author +
           "\nservices:\n  - {id: 1, name: " + author +
           ", address: "
           "\"127.0.0.1:1\", protocol: datagram, prefer: balance, "
           "idle_timeout: " +
           std::to_string(1 + number % 60) + "s}\n";
  }

  std::chrono::milliseconds Delay() {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int>(1, 4)(random_));
  }
  void Post(std::size_t i, TimePoint at, Action action) {
    events_.push(
        {at, ++last_order_, i, members_[i].generation, std::move(action)});
  }
  void Deliver(Event event) {
    auto& member = members_[event.member];
    if (event.generation != member.generation) return;
    if (member.paused) {
      event.at = now_ + std::chrono::milliseconds(5);
      events_.push(event);
      return;
    }
    event.action();
    ExecuteEffects(event.member);
    const auto tickets = member.node->tickets().position();
    ticket_decreased |= tickets < member.highest_ticket;
    member.highest_ticket = std::max(member.highest_ticket, tickets);
  }
  void ScheduleTick(std::size_t i) {
    Post(i, now_ + std::chrono::milliseconds(50), [this, i] {
      members_[i].node->OnTick(now_, effects_);
      ScheduleTick(i);
    });
  }
  void ExecuteEffects(std::size_t i) {
    auto effects = std::exchange(effects_, {});
    auto& member = members_[i];
    if (effects.store.stop_watch) member.watching = false;
    if (effects.store.start_watch) {
      member.watching = true;
      ListFor(i);
    }
    if (effects.store.read_again) ListFor(i);
    if (effects.store.read_peers) ReadPeers(i);
    if (effects.store.read_tickets) ReadTickets(i);
    for (const auto& message : effects.messages) Send(i, message);
    for (const auto& close : effects.closes) Close(i, close.stream);
    for (const auto& open : effects.opens) Open(i, open);
  }
  void ListFor(std::size_t i) {
    ++store_calls;
    auto& member = members_[i];
    const bool unavailable = store_down || member.cut;
    Listing listing{tickets_, {}, index_};
    for (const auto& [key, entry] : items_) listing.items.push_back(entry);
    Post(i, now_ + Delay(), [this, i, unavailable, listing] {
      auto& self = members_[i];
      if (!self.watching) return;
      if (!unavailable) return self.node->OnListing(listing, true, effects_);
      self.node->OnStoreLost(effects_);
      constexpr std::chrono::seconds kRetry{3};
      Post(i, now_ + kRetry, [this, i] {
        if (members_[i].watching) ListFor(i);
      });
    });
  }
  void ReadTickets(std::size_t i) {
    ++store_calls;
    if (store_down || members_[i].cut) return;
    Post(i, now_ + Delay(), [this, i, listing = Listing{tickets_, {}, index_}] {
      members_[i].node->OnListing(listing, false, effects_);
    });
  }
  void NotifyWatchers() {
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (members_[i].watching && !members_[i].cut) ListFor(i);
    }
  }
  void ReadPeers(std::size_t i) {
    ++store_calls;
    const auto& self = members_[i].options.self;
    if (store_down || members_[i].cut) {
      Post(i, now_ + std::chrono::seconds(3), [this, i] { ReadPeers(i); });
      return;
    }
    std::vector<Peer> peers;
    for (const auto& [key, entry] : items_) {
      LastReason<RelayError> reason;
      if (!key.starts_with(InstancePrefix(self.data_center))) continue;
      peers.push_back(*DecodePeer(entry.value, reason));
    }
    Post(i, now_ + Delay(),
         [this, i, peers] { members_[i].node->OnPeersRead(peers); });
    const bool recorded = items_.contains(InstanceKey(self));
    if (!members_[i].options.leaf && !recorded) {
      ++store_calls;
      Write(InstanceKey(self), EncodePeer(self));
    }
  }
  void Open(std::size_t i, const OpenStream& open) {
    const auto target = static_cast<std::size_t>(open.control.port) - 1;
    const auto id = open.stream;
    if (target >= members_.size()) {
      Post(i, now_ + Delay(), [this, i, id] {
        members_[i].node->OnStreamDown(id, now_, effects_);
      });
      return;
    }
    const StreamId other{(1ULL << 62) + ++last_order_};
    members_[i].ends[id] = {target, other};
    members_[target].ends[other] = {i, id};
    const auto at = now_ + Delay();
    Post(i, at, [this, i, id] {
      members_[i].node->OnStreamUp(id, true, now_, effects_);
    });
    Post(target, at, [this, target, other] {
      members_[target].node->OnStreamUp(other, false, now_, effects_);
    });
  }
  void Close(std::size_t i, StreamId id) {
    const auto found = members_[i].ends.find(id);
    if (found == members_[i].ends.end()) return;
    const auto [target, other] = found->second;
    members_[i].ends.erase(found);
    members_[target].ends.erase(other);
    Post(target, now_ + Delay(), [this, target = target, other = other] {
      members_[target].node->OnStreamDown(other, now_, effects_);
    });
  }
  void EndStreams(std::size_t i) {
    while (!members_[i].ends.empty()) Close(i, members_[i].ends.begin()->first);
  }
  void Send(std::size_t i, const SendMessage& sent) {
    const auto found = members_[i].ends.find(sent.stream);
    if (found == members_[i].ends.end()) return;
    ++messages;
    const auto line = EncodeMessage(sent.message);
    message_bytes += line.size();
    const auto [target, link] = found->second;
    // The same delay for all messages preserves their order, as a stream does.
    Post(target, now_ + std::chrono::milliseconds(5),
         Receive(target, link, line));
    if (std::bernoulli_distribution(duplicate_share)(random_)) {
      Post(target, now_ + std::chrono::seconds(1), Receive(target, link, line));
    }
  }
  Action Receive(std::size_t target, StreamId link, const std::string& line) {
    return [this, target, link, line] {
      LastReason<RelayError> reason;
      const auto message = DecodeMessage(
          std::string_view(line).substr(0, line.size() - 1), reason);
      members_[target].node->OnMessage(link, *message, now_, effects_);
    };
  }

  std::mt19937_64 random_;
  std::uint64_t seed_;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<Member> members_;
  std::priority_queue<Event> events_;
  std::uint64_t last_order_ = 0;
  Effects effects_;
  std::vector<TicketText> tickets_;
  std::map<std::string, StoreEntry> items_;
  std::uint64_t index_ = 0;
};

}  // namespace cowslip::relay
