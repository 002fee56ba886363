#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cowslip/peers.h"
#include "support/gossip_fleet.h"

namespace cowslip::peers {

/// Common start of all instances of a deployment.
struct FleetStart {
  int balancers = 18;
  int sidecars = 62;
  double balancer_rate = 10e6 / 8;  ///< Of each direction of a link, in B/s.
  double loss = 0;
  /// Balancers read the entries of the processes before from the store.
  bool old_entries = false;
  bool upstreams = true;  ///< Upstreams report to the sidecars.
  int dead = 0;           ///< Balancers that are seeds, but don't start.
  /// Instances with an even address neither send nor read the message fields
  /// that were added with the bounds of control traffic.
  bool earlier_builds = false;
  std::uint64_t seed = 1;
};

/// Instances that start within 20 ms of each other and exchange messages over
/// links with a rate and a delay of their own, in virtual time. Balancers get
/// the configuration from the store, and sidecars the first report of their
/// upstream, as in the platform's programs.
class TimedFleet {
 public:
  using Duration = std::chrono::microseconds;
  using BytesByCause = std::map<std::string, std::uint64_t>;

  static constexpr InstanceAddress kFirstSidecar = 10'000;

  explicit TimedFleet(const FleetStart& start)
      : start_(start), random_(start.seed) {
    for (int i = 0; i < start.balancers; ++i) Add(1 + i, true);
    for (int i = 0; i < start.sidecars; ++i) Add(kFirstSidecar + i, false);
  }

  /// Runs for a time that counts from the common start.
  void RunUntil(Duration elapsed) {
    while (!events_.empty() && events_.top().at <= kStart + elapsed) {
      const auto event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = kStart + elapsed;
  }
  /// @return how many instances lack the present entry of an instance: of any
  ///     if they are balancers, else of a balancer.
  int CountIncomplete(bool balancers) const {
    int incomplete = 0;
    for (const auto& [address, node] : nodes_) {
      if (node.is_balancer != balancers || !node.gossip) continue;
      const auto& table = node.gossip->table();
      incomplete += std::ranges::any_of(nodes_, [&](const auto& each) {
        const auto& [other, other_node] = each;
        if (!balancers && !other_node.is_balancer) return false;
        const auto* entry = table.Find(other);
        return other_node.gossip &&
               (entry == nullptr || entry->incarnation != kIncarnation);
      });
    }
    return incomplete;
  }
  /// Records which sidecars all balancers know to be open; call it often.
  void CheckOpened() {
    for (auto& [address, node] : nodes_) {
      if (!node.opened_at || node.open_known_after) continue;
      const auto opened = address;
      const bool known = std::ranges::all_of(nodes_, [&](const auto& each) {
        const auto& [other, balancer] = each;
        if (!balancer.is_balancer || !balancer.gossip) return true;
        const auto* entry = balancer.gossip->table().Find(opened);
        return entry != nullptr && entry->accepts;
      });
      if (known) node.open_known_after = now_ - *node.opened_at;
    }
  }
  /// @return for each open sidecar the milliseconds until all balancers knew,
  ///     in ascending order.
  std::vector<double> OpenDelays() const {
    using Milliseconds = std::chrono::duration<double, std::milli>;
    std::vector<double> delays;
    for (const auto& [address, node] : nodes_) {
      if (!node.opened_at) continue;
      const Milliseconds delay =
          node.open_known_after.value_or(std::chrono::seconds(9));
      delays.push_back(delay.count());
    }
    std::ranges::sort(delays);
    return delays;
  }
  /// @return bytes that the balancers have sent and received, with headers.
  BytesByCause BalancerBytes(bool in) const {
    BytesByCause sum;
    for (const auto& [address, node] : nodes_) {
      for (const auto& [cause, bytes] : in ? node.in : node.out) {
        if (node.is_balancer) sum[cause] += bytes;
      }
    }
    return sum;
  }

 private:
  static constexpr std::uint64_t kIncarnation = 2;
  static constexpr std::uint64_t kHeaders = 28;  ///< IP and UDP.
  static constexpr TimePoint kStart{std::chrono::seconds(50)};
  static constexpr double kSidecarRate = 100e6 / 8;

  struct Node {
    bool is_balancer = false;
    std::unique_ptr<Gossip> gossip;  ///< nullptr until the instance starts.
    double rate = 0;
    Duration delay{};
    TimePoint out_free{};
    TimePoint in_free{};
    BytesByCause in;
    BytesByCause out;
    std::optional<TimePoint> opened_at;
    std::optional<std::chrono::nanoseconds> open_known_after;
  };
  struct Event {
    TimePoint at;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  void At(TimePoint at, std::function<void()> run) {
    events_.push({at, ++events_added_, std::move(run)});
  }
  Duration Random(int from_us, int to_us) {
    return Duration(
        std::uniform_int_distribution<int>(from_us, to_us)(random_));
  }

  void Add(InstanceAddress address, bool balancer) {
    auto& node = nodes_[address];
    node.is_balancer = balancer;
    node.rate = balancer ? start_.balancer_rate : kSidecarRate;
    node.delay = Random(200, 2000);
    const auto start = kStart + Random(0, 20'000);
    const bool dead = balancer && static_cast<int>(address) <= start_.dead;
    if (!dead) At(start, [this, address] { StartInstance(address); });
  }

  PeerEntry Entry(InstanceAddress address, std::uint64_t incarnation) const {
    auto entry =
        MakeEntry(address, nodes_.at(address).is_balancer, incarnation);
    entry.data_center = "lima-ate-1";
    entry.lease = 7'000'000 + address;
    entry.lease_era = incarnation;
    return entry;
  }

  void StartInstance(InstanceAddress address) {
    auto& node = nodes_.at(address);
    node.gossip = std::make_unique<Gossip>(Entry(address, kIncarnation),
                                           start_.seed * 100'000 + address);
    std::vector<InstanceAddress> seeds;
    for (int i = 1; i <= start_.balancers; ++i) seeds.push_back(i);
    node.gossip->SetSeeds(seeds);
    Tick(address);
    if (node.is_balancer) {
      At(now_ + Random(10'000, 30'000),
         [this, address] { ReadConfig(address); });
      const auto spread =
          SpreadByAddress(std::chrono::milliseconds(80), address);
      At(now_ + std::chrono::milliseconds(50) + spread,
         [this, address] { ReadPeers(address); });
    } else if (start_.upstreams) {
      At(now_ + Random(20'000, 300'000), [this, address] {
        nodes_.at(address).gossip->SetOpen(true, 7, now_);
        nodes_.at(address).opened_at = now_;
        Flush(address);
      });
    }
  }

  void ReadConfig(InstanceAddress address) {
    auto& gossip = *nodes_.at(address).gossip;
    gossip.OnStoredEvacuations({{kIncarnation, 5}, {}}, true, now_);
    gossip.SetStoreEra(kIncarnation);
    gossip.OnStoreVersion(3, now_);
    gossip.SetConfig({.number = 3, .era = kIncarnation, .digest = 11}, false);
    gossip.Broadcast();
    Flush(address);
  }

  void ReadPeers(InstanceAddress address) {
    auto& gossip = *nodes_.at(address).gossip;
    if (!start_.old_entries || gossip.complete()) return;
    std::vector<PeerEntry> entries;
    for (const auto& [other, node] : nodes_) entries.push_back(Entry(other, 1));
    gossip.OnStoreSnapshot(entries, kIncarnation, now_);
    Flush(address);
  }

  void Tick(InstanceAddress address) {
    nodes_.at(address).gossip->OnTick(now_);
    Flush(address);
    At(now_ + std::chrono::milliseconds(20),
       [this, address] { Tick(address); });
  }

  static std::string NameOf(MessageCause cause) {
    static const char* const kNames[] = {
        "",           "heartbeat",        "hello",      "table",
        "comparison", "forwarded_change", "evacuation", "document"};
    return kNames[static_cast<std::size_t>(cause)];
  }

  void Flush(InstanceAddress from) {
    auto& sender = nodes_.at(from);
    for (const auto& outgoing : sender.gossip->TakeOutgoing()) {
      auto message = outgoing.message;
      const auto cause = NameOf(CauseOf(message));
      if (start_.earlier_builds && (from % 2 == 0 || outgoing.to % 2 == 0)) {
        message.cause = MessageCause::kByContent;
        message.told.clear();
        message.want_differing = false;
      }
      const auto datagram = std::make_shared<Bytes>(Encode(message));
      const auto size = datagram->size() + kHeaders;
      sender.out[cause] += size;
      sender.out_free = std::max(sender.out_free, now_) + Time(size, sender);
      const auto found = nodes_.find(outgoing.to);
      if (found == nodes_.end()) continue;
      const double chance = std::uniform_real_distribution<>(0, 1)(random_);
      if (chance < start_.loss) continue;
      const auto to = outgoing.to;
      At(sender.out_free + sender.delay + found->second.delay,
         [this, to, datagram, cause] { Arrive(to, datagram, cause); });
    }
  }

  static Duration Time(std::size_t size, const Node& node) {
    return Duration(
        static_cast<int>(static_cast<double>(size) / node.rate * 1e6));
  }

  void Arrive(InstanceAddress to, const std::shared_ptr<Bytes>& datagram,
              const std::string& cause) {
    auto& node = nodes_.at(to);
    const auto size = datagram->size() + kHeaders;
    node.in_free = std::max(node.in_free, now_) + Time(size, node);
    At(node.in_free, [this, to, datagram, cause, size] {
      auto& receiver = nodes_.at(to);
      if (!receiver.gossip) return;
      receiver.in[cause] += size;
      const auto message = Decode(*datagram);
      BOOST_REQUIRE(message.has_value());
      receiver.gossip->OnMessage(*message, now_);
      Flush(to);
    });
  }

  FleetStart start_;
  std::mt19937_64 random_;
  std::map<InstanceAddress, Node> nodes_;
  std::priority_queue<Event> events_;
  std::uint64_t events_added_ = 0;
  TimePoint now_ = kStart;
};

}  // namespace cowslip::peers
