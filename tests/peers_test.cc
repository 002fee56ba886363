// Gossip between instances and the watcher election, in virtual time.
#define BOOST_TEST_MODULE peers
#include "cowslip/peers.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>

namespace cowslip::peers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

PeerEntry MakeEntry(InstanceAddress address, bool balancer,
                    std::uint64_t incarnation) {
  PeerEntry entry;
  entry.address = address;
  entry.balancer = balancer;
  entry.incarnation = incarnation;
  entry.service = balancer ? "" : "vault";
  return entry;
}

/// Instances that exchange messages on a lossy network, in steps of 20 ms.
class Fleet {
 public:
  explicit Fleet(std::uint64_t seed) : random_(seed) {}

  Gossip& Add(const PeerEntry& entry) {
    auto& gossip = instances_[entry.address];
    gossip = std::make_unique<Gossip>(entry, entry.address);
    gossip->SetSeeds({1, 2, 3});
    return *gossip;
  }
  void Remove(InstanceAddress address) { instances_.erase(address); }
  Gossip& At(InstanceAddress address) { return *instances_.at(address); }

  void Run(milliseconds time) {
    for (auto end = now_ + time; now_ < end; now_ += milliseconds(20)) {
      for (auto& [address, gossip] : instances_) gossip->OnTick(now_);
      // Responses to messages arrive in the same step.
      for (int round = 0; round < 4; ++round) DeliverMessages();
    }
  }
  void SetLoss(double loss) { loss_ = loss; }
  TimePoint now() const { return now_; }
  std::uint64_t bytes() const { return bytes_; }

 private:
  void DeliverMessages() {
    std::vector<Outgoing> sent;
    for (auto& [address, gossip] : instances_) {
      for (auto& out : gossip->TakeOutgoing()) sent.push_back(std::move(out));
    }
    for (const auto& out : sent) {
      const auto datagram = Encode(out.message);
      bytes_ += datagram.size();
      const auto target = instances_.find(out.to);
      const bool lost =
          std::uniform_real_distribution<double>(0, 1)(random_) < loss_;
      if (target == instances_.end() || lost) continue;
      const auto message = Decode(datagram);
      BOOST_REQUIRE(message.has_value());
      target->second->OnMessage(*message, now_);
    }
  }

  std::mt19937_64 random_;
  std::map<InstanceAddress, std::unique_ptr<Gossip>> instances_;
  TimePoint now_{seconds(50)};
  double loss_ = 0;
  std::uint64_t bytes_ = 0;
};

void AddInstances(Fleet& fleet, int balancers, int sidecars) {
  for (int i = 1; i <= balancers; ++i) fleet.Add(MakeEntry(i, true, 1));
  for (int i = 1; i <= sidecars; ++i) fleet.Add(MakeEntry(100 + i, false, 1));
}

}  // namespace

BOOST_AUTO_TEST_CASE(EveryBalancerKnowsAllInstances) {
  Fleet fleet(1);
  AddInstances(fleet, 8, 20);
  fleet.Run(milliseconds(600));
  for (int i = 1; i <= 8; ++i) {
    BOOST_TEST(fleet.At(i).table().entries().size() == 28U);
  }
}

BOOST_AUTO_TEST_CASE(UpdatesArriveDespiteLostMessages) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(seed);
    AddInstances(fleet, 6, 10);
    fleet.Run(seconds(1));
    fleet.SetLoss(0.2);
    fleet.At(105).SetOpen(true, 7, fleet.now());
    fleet.Run(milliseconds(1500));
    for (int i = 1; i <= 6; ++i) {
      BOOST_TEST(fleet.At(i).table().Find(105)->accepts, "seed " << seed);
    }
  }
}

BOOST_AUTO_TEST_CASE(SidecarHasNoUpstreamUntilItIsBack) {
  Fleet fleet(1);
  AddInstances(fleet, 4, 4);
  fleet.At(102).SetOpen(true, 42, fleet.now());
  fleet.At(102).SetNoUpstream(fleet.now());
  fleet.Run(milliseconds(500));
  for (int i = 1; i <= 4; ++i) {
    BOOST_TEST(fleet.At(i).table().Find(102)->no_upstream);
    BOOST_TEST(!fleet.At(i).table().Find(102)->accepts);
  }
  // The upstream is back and already draining, so it may own flows.
  fleet.At(102).SetOpen(false, 42, fleet.now());
  fleet.Run(milliseconds(500));
  for (int i = 1; i <= 4; ++i) {
    BOOST_TEST(!fleet.At(i).table().Find(102)->no_upstream);
  }
}

BOOST_AUTO_TEST_CASE(RestartedInstanceReceivesItsPredecessor) {
  Fleet fleet(1);
  AddInstances(fleet, 4, 4);
  fleet.At(102).SetOpen(true, 42, fleet.now());
  fleet.Run(seconds(1));
  fleet.Add(MakeEntry(102, false, 9));
  fleet.Run(milliseconds(200));
  BOOST_REQUIRE(fleet.At(102).predecessor().has_value());
  BOOST_TEST(fleet.At(102).predecessor()->upstream == 42U);
}

// The system clock was set back between two starts.
BOOST_AUTO_TEST_CASE(RestartWithOlderClockSupersedesPredecessor) {
  Fleet fleet(1);
  AddInstances(fleet, 4, 0);
  fleet.Add(MakeEntry(110, false, 5000));
  fleet.Run(seconds(1));
  fleet.Add(MakeEntry(110, false, 3000));
  fleet.At(110).SetOpen(true, 1, fleet.now());
  fleet.Run(seconds(1));
  for (int i = 1; i <= 4; ++i) {
    BOOST_TEST(fleet.At(i).table().Find(110)->incarnation > 5000U);
    BOOST_TEST(fleet.At(i).table().Find(110)->accepts);
  }
}

BOOST_AUTO_TEST_CASE(TableIsCompleteOnlyIfEqualToCompleteOne) {
  Fleet fleet(1);
  AddInstances(fleet, 4, 3);
  fleet.Run(seconds(1));
  for (int i = 1; i <= 4; ++i) BOOST_TEST(!fleet.At(i).complete());
  const std::vector<PeerEntry> stored{MakeEntry(200, false, 1)};
  fleet.At(2).OnStoreSnapshot(stored, fleet.now());
  fleet.Run(seconds(2));
  for (int i = 1; i <= 4; ++i) {
    BOOST_TEST(fleet.At(i).complete());
    BOOST_TEST((fleet.At(i).table().Find(200) != nullptr));
  }
}

// Gossip traffic of an idle instance: the target is 3 KB per second.
BOOST_AUTO_TEST_CASE(IdleInstancesStayWithinTrafficTarget) {
  Fleet fleet(1);
  AddInstances(fleet, 24, 62);
  fleet.Run(seconds(3));
  const auto before = fleet.bytes();
  fleet.Run(seconds(10));
  const double per_second =
      static_cast<double>(fleet.bytes() - before) / 86 / 10;
  BOOST_TEST(per_second < 3000);
}

BOOST_AUTO_TEST_CASE(InvalidDatagramsAreRejected) {
  auto datagram = Encode(Message{});
  BOOST_TEST(Decode(datagram).has_value());
  for (std::size_t size = 0; size < datagram.size(); ++size) {
    BOOST_TEST(!Decode(ByteView(datagram).first(size)).has_value());
  }
  datagram[0] = 'X';
  BOOST_TEST(!Decode(datagram).has_value());
}

BOOST_AUTO_TEST_CASE(TwoBalancersAreElectedWatchers) {
  constexpr milliseconds kWatchTime{1000};
  TimePoint now{seconds(10)};
  std::map<InstanceAddress, WatcherElection> elections;
  for (InstanceAddress i = 1; i <= 24; ++i) {
    elections.emplace(i, WatcherElection(i, kWatchTime, now));
  }
  const auto run = [&](milliseconds time) {
    for (const auto end = now + time; now < end; now += milliseconds(20)) {
      for (auto& [self, election] : elections) {
        if (!election.Update(now)) continue;
        for (auto& [other, peer] : elections) {
          if (other != self) peer.OnWatcherStatus(self, true, now);
        }
      }
    }
  };
  const auto watchers = [&] {
    std::vector<InstanceAddress> selected;
    for (auto& [self, election] : elections) {
      if (election.watching()) selected.push_back(self);
    }
    return selected;
  };
  run(seconds(4));
  BOOST_TEST(watchers().size() == 2U);
  // Both watchers stop at once: others take over well within 3 s.
  for (const auto stopped : watchers()) elections.erase(stopped);
  run(milliseconds(2200));
  BOOST_TEST(watchers().size() >= 2U);
  run(seconds(2));
  BOOST_TEST(watchers().size() == 2U);
}

// lienthep-gw, hunted day f8da-3: the store rejected both watchers, which still
// counted as watchers until a change was more than 3 s old.
BOOST_AUTO_TEST_CASE(RejectedWatchersAreReplaced) {
  constexpr milliseconds kWatchTime{1000};
  TimePoint now{seconds(10)};
  std::map<InstanceAddress, WatcherElection> elections;
  for (InstanceAddress i = 1; i <= 8; ++i) {
    elections.emplace(i, WatcherElection(i, kWatchTime, now));
  }
  std::vector<InstanceAddress> rejected;
  const auto run = [&](milliseconds time, bool unresponsive_store) {
    for (const auto end = now + time; now < end; now += milliseconds(20)) {
      for (auto& [id, own] : elections) {
        const bool is_rejected =
            std::find(rejected.begin(), rejected.end(), id) != rejected.end();
        if (!own.Update(now)) continue;
        if (!is_rejected) own.OnStoreResponse(now);
        if (is_rejected && !unresponsive_store) own.OnStoreFailure();
        for (auto& [other, peer] : elections) {
          if (other != id) peer.OnWatcherStatus(id, own.IsReliable(now), now);
        }
      }
    }
  };
  const auto reliable = [&] {
    std::vector<InstanceAddress> selected;
    for (auto& [self, election] : elections) {
      if (election.IsReliable(now)) selected.push_back(self);
    }
    return selected;
  };
  for (const bool unresponsive_store : {false, true}) {
    rejected.clear();
    run(seconds(5), unresponsive_store);
    rejected = reliable();
    BOOST_TEST(rejected.size() == 2U);
    run(unresponsive_store ? milliseconds(1700) : milliseconds(400),
        unresponsive_store);
    BOOST_TEST(reliable().size() >= 2U);
  }
}

}  // namespace cowslip::peers
