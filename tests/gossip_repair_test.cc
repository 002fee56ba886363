// Repair of membership tables by comparison of ranges, beside the exchange of
// whole tables, in virtual time.
#define BOOST_TEST_MODULE gossip_repair
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <random>

#include "support/gossip_fleet.h"

namespace cowslip::peers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr InstanceAddress kFirstSidecar = 10'000;
/// Within this time, configurations have to be in force everywhere.
constexpr seconds kConvergenceTarget{6};
constexpr milliseconds kStep{100};

/// A fleet and its network.
struct Conditions {
  int balancers;
  int sidecars;
  double loss;
};

std::ostream& operator<<(std::ostream& out, const Conditions& conditions) {
  return out << conditions.balancers << " balancers, " << conditions.sidecars
             << " sidecars, loss " << conditions.loss;
}

const Conditions kConditions[] = {
    {6, 24, 0.01}, {6, 24, 0.3}, {30, 70, 0.1}, {91, 204, 0.01}, {91, 204, 0.3},
};

/// What the spread of changes took.
struct Spread {
  std::optional<milliseconds> to_most;  ///< Until 99 % of the balancers know.
  std::optional<milliseconds> to_all;
  std::uint64_t bytes = 0;
  std::uint64_t largest_burst = 0;
  std::uint64_t quiet_bytes = 0;  ///< In the same time without changes.
};

/// @return share of the balancers that know the present entry of all sidecars.
double ShareInformed(const Fleet& fleet, int balancers, int sidecars) {
  int informed = 0;
  for (int i = 1; i <= balancers; ++i) {
    const auto& table = fleet.instances().at(i)->table();
    bool knows_all = true;
    for (int j = 0; j < sidecars && knows_all; ++j) {
      const auto address = kFirstSidecar + j;
      const auto* entry = table.Find(address);
      knows_all =
          entry != nullptr && *entry == fleet.instances().at(address)->self();
    }
    informed += knows_all;
  }
  return static_cast<double>(informed) / balancers;
}

/// A tenth of the sidecars restart and half of them change their state.
void ChangeEntries(Fleet& fleet, int sidecars) {
  for (int i = 0; i < sidecars; ++i) {
    const auto address = kFirstSidecar + i;
    if (i % 10 == 0) fleet.Add(MakeEntry(address, false, 2));
    if (i % 2 == 0) fleet.At(address).SetOpen(true, 7, fleet.now());
  }
}

Spread MeasureSpread(const Conditions& conditions, bool whole_tables) {
  Fleet fleet(3);
  if (whole_tables) fleet.ExchangeWholeTables();
  AddInstances(fleet, conditions.balancers, conditions.sidecars, kFirstSidecar);
  fleet.Run(seconds(6));
  fleet.SetLoss(conditions.loss);
  fleet.Run(seconds(1));
  Spread spread;
  fleet.ResetCounters();
  fleet.Run(kConvergenceTarget);
  spread.quiet_bytes = fleet.bytes();
  fleet.ResetCounters();
  ChangeEntries(fleet, conditions.sidecars);
  const auto start = fleet.now();
  while (fleet.now() - start < kConvergenceTarget) {
    fleet.Run(kStep);
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(fleet.now() - start);
    const double share =
        ShareInformed(fleet, conditions.balancers, conditions.sidecars);
    if (share >= 0.99 && !spread.to_most) spread.to_most = elapsed;
    if (share == 1 && !spread.to_all) spread.to_all = elapsed;
  }
  spread.bytes = fleet.bytes();
  spread.largest_burst = fleet.largest_burst();
  return spread;
}

}  // namespace

BOOST_DATA_TEST_CASE(ChangesReachAllBalancers, kConditions, conditions) {
  const auto by_ranges = MeasureSpread(conditions, /*whole_tables=*/false);
  const auto by_tables = MeasureSpread(conditions, /*whole_tables=*/true);
  const auto print = [&](const char* name, const Spread& spread) {
    BOOST_TEST_MESSAGE(conditions
                       << ", " << name << ": 99 % after "
                       << spread.to_most.value_or(milliseconds(-1)).count()
                       << " ms, all after "
                       << spread.to_all.value_or(milliseconds(-1)).count()
                       << " ms, kB " << spread.bytes / 1000 << ", quiet kB "
                       << spread.quiet_bytes / 1000 << ", largest burst B "
                       << spread.largest_burst);
  };
  print("ranges", by_ranges);
  print("tables", by_tables);
  BOOST_TEST(by_ranges.to_all.has_value());
  BOOST_TEST(by_ranges.bytes < by_tables.bytes);
}

// A release: three upstreams a second are replaced. The bytes are at most twice
// those of a quiet time.
BOOST_DATA_TEST_CASE(ReleaseCostsAtMostTwiceQuietTime, kConditions,
                     conditions) {
  Fleet fleet(5);
  AddInstances(fleet, conditions.balancers, conditions.sidecars, kFirstSidecar);
  fleet.Run(seconds(6));
  fleet.SetLoss(conditions.loss);
  fleet.ResetCounters();
  fleet.Run(kConvergenceTarget);
  const auto quiet_bytes = fleet.bytes();
  fleet.ResetCounters();
  for (int second = 0; second < kConvergenceTarget.count(); ++second) {
    for (int i = 0; i < 3; ++i) {
      const auto old = kFirstSidecar + (3 * second + i) % conditions.sidecars;
      fleet.At(old).SetOpen(false, 7, fleet.now());
      fleet.Add(MakeEntry(old, false, 2)).SetOpen(true, 8, fleet.now());
    }
    fleet.Run(seconds(1));
  }
  BOOST_TEST(fleet.bytes() <= 2 * quiet_bytes,
             fleet.bytes() << " bytes, quiet " << quiet_bytes);
}

// Loss, restarts and an instance that is heard by nobody: no table goes back to
// an older incarnation or version, and all agree afterwards.
BOOST_AUTO_TEST_CASE(NoTableGoesBack) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    std::mt19937_64 random(seed);
    Fleet fleet(seed);
    constexpr int kBalancers = 8;
    constexpr int kSidecars = 24;
    AddInstances(fleet, kBalancers, kSidecars, kFirstSidecar);
    fleet.Run(seconds(1));
    fleet.SetLoss(0.3);
    std::map<std::pair<InstanceAddress, InstanceAddress>, PeerEntry> known;
    std::uint64_t incarnation = 1;
    for (int step = 0; step < 40; ++step) {
      const InstanceAddress sidecar = kFirstSidecar + random() % kSidecars;
      switch (random() % 4) {
        case 0:
          fleet.Add(MakeEntry(sidecar, false, ++incarnation));
          break;
        case 1:
          fleet.At(sidecar).SetOpen(random() % 2 == 0, 7, fleet.now());
          break;
        case 2:
          fleet.At(sidecar).Leave(fleet.now());
          break;
        default:
          fleet.Mute(kFirstSidecar + random() % kSidecars);
      }
      fleet.Run(kStep);
      for (int i = 1; i <= kBalancers; ++i) {
        for (const auto& [address, entry] : fleet.At(i).table().entries()) {
          auto& before = known.try_emplace({i, address}, entry).first->second;
          BOOST_REQUIRE(!before.NewerThan(entry));
          before = entry;
        }
      }
    }
    fleet.SetLoss(0);
    fleet.Mute(0);
    fleet.Run(kConvergenceTarget);
    BOOST_TEST(ShareInformed(fleet, kBalancers, kSidecars) == 1.0,
               "seed " << seed);
  }
}

// An instance of an earlier build takes part: it expects whole tables.
BOOST_AUTO_TEST_CASE(EarlierBuildGetsWholeTables) {
  Gossip gossip(MakeEntry(1, true, 1), 1);
  const auto now = TimePoint{seconds(50)};
  Message message;
  message.sender = 2;
  message.balancer = true;
  for (InstanceAddress i = 3; i < 40; ++i) {
    message.entries.push_back(MakeEntry(i, false, 1));
  }
  gossip.OnMessage(message, now);
  std::size_t entries = 0;
  for (const auto& out : gossip.TakeOutgoing()) {
    if (out.to == 2) entries += out.message.entries.size();
  }
  BOOST_TEST(entries == gossip.table().entries().size());
}

}  // namespace cowslip::peers
