// Copies of the configuration beside upstreams: who keeps one, and what a
// balancer that starts without store and without other balancers receives.
#define BOOST_TEST_MODULE document
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "cowslip/peers.h"

namespace cowslip::peers::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr InstanceAddress kFirstSidecar = 100'000;

PeerEntry MakeEntry(InstanceAddress address, std::uint64_t incarnation) {
  PeerEntry entry;
  entry.address = address;
  entry.balancer = address < kFirstSidecar;
  entry.incarnation = incarnation;
  return entry;
}

PeerTable MakeTable(int sidecars) {
  PeerTable table;
  for (int i = 0; i < sidecars; ++i) {
    table.Merge(MakeEntry(kFirstSidecar + i, 1));
  }
  return table;
}

ConfigVersion Version(std::uint64_t number, const std::string& text,
                      std::uint64_t era = 1) {
  return {number, era, DocumentDigest(text)};
}

/// A site whose balancers and sidecars exchange gossip and documents in virtual
/// time, without a store.
class Site {
 public:
  Site(int balancers, int sidecars) : balancers_(balancers) {
    for (int i = 1; i <= balancers; ++i) Start(i, 1);
    for (int i = 0; i < sidecars; ++i) Start(kFirstSidecar + i, 1);
    Run(seconds(2));
  }

  /// A balancer reads a version from the store and watches it.
  void Publish(InstanceAddress balancer, std::uint64_t number,
               const std::string& text, std::uint64_t era = 1) {
    const auto version = Version(number, text, era);
    texts_[version.digest] = text;
    auto& host = hosts_.at(balancer);
    host.version = version;
    host.gossip->SetConfig(version, true);
    host.gossip->Broadcast();
    host.gossip->NotifyDocumentHolders();
    Flush(balancer);
  }

  /// All balancers restart at the same moment with empty state.
  void RestartBalancers() {
    ++incarnation_;
    for (int i = 1; i <= balancers_; ++i) Start(i, incarnation_);
  }

  void Stop(InstanceAddress address) { hosts_.erase(address); }

  void Run(milliseconds time) {
    const auto end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(5);
      while (!events_.empty() && events_.top().time <= now_) {
        const auto event = events_.top();
        events_.pop();
        event.run();
      }
      for (auto& [address, host] : hosts_) {
        if (now_ < host.next_tick) continue;
        host.next_tick = now_ + milliseconds(20);
        host.gossip->OnTick(now_);
        Flush(address);
      }
    }
  }

  /// @return balancers that have a version in force.
  int BalancersWith(const ConfigVersion& version) const {
    return static_cast<int>(
        std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& each) {
          return each.first < kFirstSidecar && each.second.version == version;
        }));
  }
  std::vector<InstanceAddress> Holders() const {
    std::vector<InstanceAddress> holders;
    for (const auto& [address, host] : hosts_) {
      if (host.document.version().number != 0) holders.push_back(address);
    }
    return holders;
  }
  HeldDocument& Document(InstanceAddress sidecar) {
    return hosts_.at(sidecar).document;
  }

 private:
  struct Host {
    std::unique_ptr<Gossip> gossip;
    ConfigVersion version;  ///< In force at a balancer.
    HeldDocument document;  ///< Copy of a sidecar.
    TimePoint next_tick{};
  };
  struct Event {
    TimePoint time;
    std::function<void()> run;
    bool operator>(const Event& other) const { return time > other.time; }
  };

  void Start(InstanceAddress address, std::uint64_t incarnation) {
    auto& host = hosts_[address];
    host = Host{};
    host.gossip = std::make_unique<Gossip>(MakeEntry(address, incarnation),
                                           incarnation ^ address);
    host.gossip->SetSeeds({1, 2, 3});
    host.next_tick = now_ + milliseconds(address % 20);
  }

  void Flush(InstanceAddress from) {
    for (auto& outgoing : hosts_.at(from).gossip->TakeOutgoing()) {
      After(milliseconds(1), [this, outgoing] { Deliver(outgoing); });
    }
  }

  void After(milliseconds delay, std::function<void()> run) {
    events_.push({now_ + delay, std::move(run)});
  }

  void Deliver(const Outgoing& outgoing) {
    const auto found = hosts_.find(outgoing.to);
    if (found == hosts_.end()) return;
    auto& host = found->second;
    const auto update = host.gossip->OnMessage(outgoing.message, now_);
    const auto from = outgoing.message.sender;
    if (outgoing.to < kFirstSidecar) {
      if (update.config.Replaces(host.version)) Fetch(outgoing.to, from);
    } else if (update.keep_document &&
               host.document.OnAnnounced(update.config)) {
      Fetch(outgoing.to, from);
    }
    Flush(outgoing.to);
  }

  void Fetch(InstanceAddress to, InstanceAddress from) {
    After(milliseconds(5), [this, to, from] {
      const auto source = hosts_.find(from);
      const auto target = hosts_.find(to);
      if (source == hosts_.end() || target == hosts_.end()) return;
      const auto version = from < kFirstSidecar
                               ? source->second.version
                               : source->second.document.version();
      Receive(target->second, to, version);
      Flush(to);
    });
  }

  void Receive(Host& host, InstanceAddress address,
               const ConfigVersion& version) {
    if (address >= kFirstSidecar) {
      if (version.number == 0) return host.document.OnFetchFailed();
      host.document.OnFetched(version.number, texts_.at(version.digest));
      host.gossip->SetConfig(host.document.version(), false);
      return;
    }
    if (!version.Replaces(host.version)) return;
    host.version = version;
    host.gossip->SetConfig(version, false);
    host.gossip->Broadcast();
  }

  int balancers_;
  std::uint64_t incarnation_ = 1;
  std::map<std::uint64_t, std::string> texts_;  ///< Documents by digest.
  std::map<InstanceAddress, Host> hosts_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  TimePoint now_{seconds(100)};
};

}  // namespace

BOOST_AUTO_TEST_CASE(BalancersChooseTheSameHolders) {
  const auto holders = ChooseDocumentHolders(MakeTable(200));
  BOOST_TEST(holders.size() == kDocumentHolders);
  const auto more = ChooseDocumentHolders(MakeTable(201));
  int kept = 0;
  for (const auto holder : holders) {
    kept += std::find(more.begin(), more.end(), holder) != more.end();
  }
  BOOST_TEST(kept + 1 >= static_cast<int>(kDocumentHolders));
  BOOST_TEST(ChooseDocumentHolders(MakeTable(3)).size() == 3U);
}

// All balancers are killed at once while the store is silent (rampesmor): they
// received no configuration until the store was back, 6 s later.
BOOST_AUTO_TEST_CASE(RestartedBalancersReceiveTheDocument) {
  for (const auto& [balancers, sidecars] :
       {std::pair{6, 11}, std::pair{20, 54}, std::pair{91, 204}}) {
    Site site(balancers, sidecars);
    site.Publish(1, 5, "five");
    site.Run(seconds(1));
    BOOST_TEST(site.Holders().size() == std::min<std::size_t>(8, sidecars));
    site.RestartBalancers();
    site.Run(milliseconds(200));
    BOOST_TEST(
        site.BalancersWith(Version(5, "five")) == balancers,
        balancers << " balancers: " << site.BalancersWith(Version(5, "five")));
  }
}

BOOST_AUTO_TEST_CASE(DocumentOutlivesAllButOneHolder) {
  Site site(6, 40);
  site.Publish(1, 5, "five");
  site.Run(seconds(1));
  const auto holders = site.Holders();
  for (std::size_t i = 1; i < holders.size(); ++i) site.Stop(holders[i]);
  site.RestartBalancers();
  site.Run(seconds(2));
  BOOST_TEST(site.BalancersWith(Version(5, "five")) == 6);
}

// A holder that was paused has an old copy and learns from frames that another
// version is in use.
BOOST_AUTO_TEST_CASE(OutdatedCopyIsNotGivenOut) {
  HeldDocument document;
  BOOST_TEST(document.OnAnnounced({.number = 5}));
  BOOST_TEST(!document.OnAnnounced({.number = 5}));
  document.OnFetched(5, "five");
  BOOST_TEST(document.version().number == 5U);
  document.OnVersionInUse(6);
  BOOST_TEST(document.version().number == 0U);
  BOOST_TEST(document.document().empty());
  BOOST_TEST(document.OnAnnounced({.number = 6}));
  document.OnFetchFailed();
  BOOST_TEST(document.OnAnnounced({.number = 6}));
  document.OnFetched(6, "six");
  BOOST_TEST(document.document() == "six");
}

// The store loses a version and operators give its number to other contents.
BOOST_AUTO_TEST_CASE(ReassignedNumberReplacesTheLostVersionEverywhere) {
  Site site(6, 20);
  site.Publish(1, 12, "lost");
  site.Run(seconds(1));
  BOOST_REQUIRE(site.BalancersWith(Version(12, "lost")) == 6);
  site.Publish(2, 12, "written again", 2);
  site.Run(seconds(1));
  BOOST_TEST(site.BalancersWith(Version(12, "written again", 2)) == 6);
  for (const auto holder : site.Holders()) {
    BOOST_TEST(site.Document(holder).document() == "written again");
  }
}

// All balancers are killed between the return of the store and the second
// writing of the version that it has lost.
BOOST_AUTO_TEST_CASE(RestartedBalancersReceiveAVersionThatTheStoreHasLost) {
  Site site(6, 20);
  site.Publish(1, 12, "lost");
  site.Run(seconds(1));
  site.RestartBalancers();
  for (int i = 1; i <= 6; ++i) site.Publish(i, 6, "restored", 2);
  site.Run(seconds(1));
  BOOST_TEST(site.BalancersWith(Version(12, "lost")) == 6);
}

BOOST_AUTO_TEST_CASE(SameDocumentInALaterEraIsNotFetchedAgain) {
  HeldDocument document;
  BOOST_TEST(document.OnAnnounced(Version(12, "twelve")));
  document.OnFetched(12, "twelve");
  BOOST_TEST(!document.OnAnnounced(Version(12, "twelve", 2)));
  BOOST_TEST((document.version() == Version(12, "twelve", 2)));
}

// A response that was sent before the store came back arrives late.
BOOST_AUTO_TEST_CASE(LostVersionDoesNotReplaceTheOneWrittenAgain) {
  BOOST_TEST(!Version(12, "lost", 1).Replaces(Version(12, "again", 2)));
  BOOST_TEST(!Version(12, "lost", 0).Replaces(Version(12, "again", 2)));
  BOOST_TEST(!Version(6, "restored", 2).Replaces(Version(12, "lost", 1)));
}

// No balancer has the newest version any more that a holder has seen in use.
BOOST_AUTO_TEST_CASE(CopyIsGivenOutAfterTheStoreHasLostANewerVersion) {
  HeldDocument document;
  document.OnAnnounced({.number = 5});
  document.OnFetched(5, "five");
  document.OnVersionInUse(6);
  BOOST_TEST(document.document().empty());
  document.OnStoreReturned();
  BOOST_TEST(document.document() == "five");
  document.OnVersionInUse(6);
  BOOST_TEST(document.document().empty());
}

BOOST_AUTO_TEST_CASE(NoSequenceOfEventsGivesOutAnOldVersion) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    HeldDocument document;
    std::uint64_t newest = 0;
    for (int step = 0; step < 100; ++step) {
      const std::uint64_t version = 1 + random() % 10;
      switch (random() % 4) {
        case 0:
          document.OnAnnounced({.number = version});
          newest = std::max(newest, version);
          break;
        case 1:
          document.OnFetched(version, std::to_string(version));
          newest = std::max(newest, version);
          break;
        case 2:
          document.OnVersionInUse(version);
          newest = std::max(newest, version);
          break;
        default:
          document.OnFetchFailed();
      }
      const bool usable = document.version().number != 0;
      BOOST_REQUIRE(!usable || document.version().number == newest);
      BOOST_REQUIRE(document.document() ==
                    (usable ? std::to_string(newest) : ""));
    }
  }
}

}  // namespace cowslip::peers::test
