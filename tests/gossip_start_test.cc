// Start of all instances at once, over links of limited rate in virtual time:
// bytes by cause and the time until membership is known.
#define BOOST_TEST_MODULE gossip_start
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdio>

#include "support/timed_fleet.h"

namespace cowslip::peers {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeeds = 5;

/// Mean of all balancers of a start, in bytes sent and received.
struct Figures {
  double first_quarter = 0;  ///< In the first 250 ms.
  double first_second = 0;
  milliseconds balancers_complete{};
  milliseconds sidecars_complete{};
};

void PrintBytes(const TimedFleet& fleet, const FleetStart& start, int ms) {
  for (const bool in : {false, true}) {
    std::string line;
    double sum = 0;
    for (const auto& [cause, bytes] : fleet.BalancerBytes(in)) {
      const double mean = static_cast<double>(bytes) / start.balancers / 1000;
      sum += mean;
      char text[80];
      std::snprintf(text, sizeof text, " %s %.1f", cause.c_str(), mean);
      line += text;
    }
    BOOST_TEST_MESSAGE("  " << ms << " ms, kB a balancer "
                            << (in ? "in " : "out ") << sum << ":" << line);
  }
}

double MeanBytes(const TimedFleet& fleet, const FleetStart& start) {
  double sum = 0;
  for (const bool in : {false, true}) {
    for (const auto& [cause, bytes] : fleet.BalancerBytes(in)) {
      sum += static_cast<double>(bytes);
    }
  }
  return sum / start.balancers;
}

Figures Measure(FleetStart start, std::uint64_t seed, bool print) {
  start.seed = seed;
  TimedFleet fleet(start);
  Figures figures;
  for (milliseconds time{5}; time <= milliseconds(3000); time += milliseconds(5)) {
    fleet.RunUntil(time);
    if (fleet.CountIncomplete(true) > 0) figures.balancers_complete = time;
    if (fleet.CountIncomplete(false) > 0) figures.sidecars_complete = time;
    if (time == milliseconds(250)) {
      figures.first_quarter = MeanBytes(fleet, start);
      if (print) PrintBytes(fleet, start, 250);
      if (print) {
        BOOST_TEST_MESSAGE("  largest " << fleet.LargestBalancerBytes());
      }
    }
    if (time == milliseconds(1000)) {
      figures.first_second = MeanBytes(fleet, start);
      if (print) PrintBytes(fleet, start, 1000);
    }
  }
  return figures;
}

struct Case {
  const char* name;
  FleetStart start;
};

std::ostream& operator<<(std::ostream& out, const Case& each) {
  return out << each.name;
}

const Case kCases[] = {
    {"80 instances", {}},
    {"80 instances, 10 % loss", {.loss = 0.1}},
    {"80 instances, stored entries", {.stored_entries = true}},
    {"80 instances, stored entries, 10 % loss",
     {.loss = 0.1, .stored_entries = true}},
    {"80 instances, 3 dead", {.dead_balancers = 3}},
    {"80 instances, 200 Mbit/s", {.balancer_rate = 200e6 / 8}},
    {"300 instances", {.balancers = 67, .sidecars = 233}},
    {"300 instances, 10 % loss",
     {.balancers = 67, .sidecars = 233, .loss = 0.1}},
};

}  // namespace

BOOST_DATA_TEST_CASE(CommonStart, kCases, each) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto figures = Measure(each.start, seed, seed == 1);
    BOOST_TEST_MESSAGE(each << ", seed " << seed << ": kB in and out per balancer "
                       << figures.first_quarter / 1000 << " in 250 ms, "
                       << figures.first_second / 1000
                       << " in 1 s; balancers complete after "
                       << figures.balancers_complete.count()
                       << " ms, sidecars after "
                       << figures.sidecars_complete.count() << " ms");
  }
  BOOST_TEST(true);
}

}  // namespace cowslip::peers
