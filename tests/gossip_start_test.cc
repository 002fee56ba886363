// Start of all instances at once, over links of limited rate in virtual time:
// bytes by cause and the time until membership is known.
#define BOOST_TEST_MODULE gossip_start
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <sstream>

#include "support/timed_fleet.h"

namespace cowslip::peers {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeeds = 5;

/// What one start took; bytes are means of what a balancer sent and received.
struct Figures {
  double first_quarter = 0;       ///< kB in the first 250 ms.
  double first_second = 0;        ///< kB.
  double balancers_complete = 0;  ///< Time in milliseconds, also the others.
  double sidecars_complete = 0;
  double open_median = 0;  ///< Until all balancers know an open sidecar.
  double open_longest = 0;
  std::string causes;  ///< Of the first 250 ms.
};

double CountBytes(const TimedFleet& fleet, int balancers, std::string& causes) {
  std::ostringstream text;
  double sum = 0;
  for (const bool in : {false, true}) {
    text << (in ? "; in:" : "out:");
    for (const auto& [cause, bytes] : fleet.BalancerBytes(in)) {
      const auto mean = static_cast<double>(bytes) / balancers / 1000;
      text << ' ' << cause << ' ' << std::round(mean * 10) / 10;
      sum += mean;
    }
  }
  causes = text.str();
  return sum;
}

Figures Measure(FleetStart start, std::uint64_t seed) {
  start.seed = seed;
  TimedFleet fleet(start);
  Figures figures;
  constexpr milliseconds kStep{5};
  for (auto time = kStep; time <= milliseconds(3000); time += kStep) {
    fleet.RunUntil(time);
    fleet.CheckOpened();
    const auto elapsed = static_cast<double>(time.count());
    const bool balancers_complete = fleet.CountIncomplete(true) == 0;
    const bool sidecars_complete = fleet.CountIncomplete(false) == 0;
    if (!balancers_complete) figures.balancers_complete = elapsed;
    if (!sidecars_complete) figures.sidecars_complete = elapsed;
    const bool complete = balancers_complete && sidecars_complete;
    if (time > milliseconds(2000) && complete) break;
    if (time != milliseconds(250) && time != milliseconds(1000)) continue;
    std::string causes;
    const auto bytes = CountBytes(fleet, start.balancers, causes);
    if (time == milliseconds(1000)) figures.first_second = bytes;
    if (time != milliseconds(250)) continue;
    figures.first_quarter = bytes;
    figures.causes = causes;
  }
  const auto delays = fleet.OpenDelays();
  if (!delays.empty()) {
    figures.open_median = delays[delays.size() / 2];
    figures.open_longest = delays.back();
  }
  return figures;
}

/// A start and the limits of its figures: mean kB in 250 ms, milliseconds.
struct Case {
  const char* name;
  FleetStart start;
  double bytes;
  double balancers_complete;
  double sidecars_complete;
};

std::ostream& operator<<(std::ostream& out, const Case& each) {
  return out << each.name;
}

const Case kCases[] = {
    {"80", {.upstreams = false}, 60, 150, 200},
    {"80, loss 10 %", {.loss = 0.1, .upstreams = false}, 65, 500, 1000},
    {"80, 3 balancers dead", {.upstreams = false, .dead = 3}, 65, 300, 500},
    {"80, half of them without the new message fields",
     {.upstreams = false, .earlier_builds = true},
     100,
     300,
     700},
    {"80, upstreams", {}, 95, 150, 200},
    {"80, upstreams, loss 10 %", {.loss = 0.1}, 95, 500, 1000},
    {"80, upstreams, old entries stored", {.old_entries = true}, 95, 150, 200},
    {"80, upstreams, 200 Mbit/s", {.balancer_rate = 25e6}, 95, 150, 200},
    {"300",
     {.balancers = 67, .sidecars = 233, .upstreams = false},
     180,
     1000,
     1000},
    {"300, upstreams", {.balancers = 67, .sidecars = 233}, 240, 1300, 1000},
    {"300, upstreams, loss 10 %",
     {.balancers = 67, .sidecars = 233, .loss = 0.1},
     240,
     2000,
     2800},
};

}  // namespace

// Guards against links that are busy with gossip when all machines have lost
// power, so that acknowledgements of lookups are late, and against a membership
// that is known later in return.
BOOST_DATA_TEST_CASE(CommonStart, kCases, each) {
  std::vector<Figures> runs;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    runs.push_back(Measure(each.start, seed));
  }
  std::ostringstream text;
  text << each.name << " (" << kSeeds << " seeds)";
  const auto add = [&](const char* name, double Figures::*value) {
    const auto [least, most] = std::ranges::minmax(runs, {}, value);
    text << "; " << name << ' ' << std::lround(least.*value) << " to "
         << std::lround(most.*value);
  };
  add("kB in 250 ms", &Figures::first_quarter);
  add("in 1 s", &Figures::first_second);
  add("ms: balancers complete", &Figures::balancers_complete);
  add("sidecars", &Figures::sidecars_complete);
  add("open known, median", &Figures::open_median);
  add("longest", &Figures::open_longest);
  BOOST_TEST_MESSAGE(text.str() << "\n  kB of seed 1, " << runs.front().causes);
  double bytes = 0;
  for (const auto& run : runs) {
    bytes += run.first_quarter / kSeeds;
    BOOST_TEST(run.balancers_complete <= each.balancers_complete);
    BOOST_TEST(run.sidecars_complete <= each.sidecars_complete);
  }
  BOOST_TEST(bytes <= each.bytes);
}

}  // namespace cowslip::peers
