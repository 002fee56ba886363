#define BOOST_TEST_MODULE liveness
#include <boost/test/unit_test.hpp>

#include "support/liveness_simulation.h"

namespace cowslip::test {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 1500;
/// Time without frames, stagger, two stages of a failure confirmation and one
/// repetition.
constexpr seconds kMaxDetectionTime{40};
/// Undisturbed time before a scenario, in which all members exchange probes.
constexpr seconds kWarmUp{6};

std::size_t PickIndex(LivenessSimulation& simulation, std::size_t members) {
  return simulation.generator()() % members;
}

/// Runs a scenario for every seed, with 3 to 12 members.
template <typename Scenario>
void ForSeeds(const Scenario& scenario, std::uint64_t seeds = kSeeds) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      const std::size_t members = 3 + seed % 10;
      LivenessSimulation simulation({.seed = seed, .members = members});
      simulation.Run(kWarmUp);
      scenario(simulation, members);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_failed_member_is_recorded_dead_once_and_no_other_is) {
  ForSeeds([](LivenessSimulation& simulation, std::size_t members) {
    const auto dead = PickIndex(simulation, members);
    simulation.Kill(dead);
    simulation.Run(kMaxDetectionTime);
    BOOST_TEST(simulation.record(dead).dead);
    BOOST_TEST(simulation.deaths() == 1U);
    BOOST_TEST(simulation.record_writes() == 1U);
  });
}

BOOST_AUTO_TEST_CASE(an_isolated_member_records_no_death) {
  ForSeeds([](LivenessSimulation& simulation, std::size_t members) {
    const auto cut = PickIndex(simulation, members);
    simulation.Cut(
        [cut](auto from, auto to) { return from != cut && to != cut; });
    simulation.Run(seconds(60));
    for (std::size_t i = 0; i < members; ++i) {
      if (i != cut) BOOST_TEST(simulation.record(i).evictions == 0U);
    }
  });
}

BOOST_AUTO_TEST_CASE(one_broken_path_records_no_death) {
  ForSeeds([](LivenessSimulation& simulation, std::size_t members) {
    const auto a = PickIndex(simulation, members);
    const auto b = (a + 1) % members;
    simulation.Cut([=](auto from, auto to) {
      return !((from == a && to == b) || (from == b && to == a));
    });
    simulation.Run(seconds(60));
    BOOST_TEST(simulation.record_writes() == 0U);
  });
}

BOOST_AUTO_TEST_CASE(a_faulty_witness_causes_no_false_death) {
  ForSeeds([](LivenessSimulation& simulation, std::size_t members) {
    if (members < 4) return;
    const auto faulty = PickIndex(simulation, members);
    const auto reporter = (faulty + 1) % members;
    const auto subject = (faulty + 2) % members;
    simulation.SetFaultyWitness(faulty);
    simulation.Cut([=](auto from, auto to) {
      return !((from == reporter && to == subject) ||
               (from == subject && to == reporter));
    });
    simulation.Run(seconds(60));
    BOOST_TEST(simulation.record_writes() == 0U);
  });
}

BOOST_AUTO_TEST_CASE(a_minority_partition_records_no_death) {
  ForSeeds([](LivenessSimulation& simulation, std::size_t members) {
    const auto size = 1 + PickIndex(simulation, (members - 1) / 2);
    const auto inside = [=](std::size_t i) { return i < size; };
    simulation.Cut(
        [=](auto from, auto to) { return inside(from) == inside(to); });
    simulation.Run(seconds(60));
    for (std::size_t i = size; i < members; ++i) {
      BOOST_TEST(simulation.record(i).evictions == 0U);
    }
  });
}

BOOST_AUTO_TEST_CASE(a_minority_partition_of_a_large_service_records_no_death) {
  constexpr std::uint64_t kLargeSeeds = 60;
  for (std::uint64_t seed = 1; seed <= kLargeSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      constexpr std::size_t kMembers = 120;
      LivenessSimulation simulation({.seed = seed, .members = kMembers});
      simulation.Run(kWarmUp);
      const auto size = kMembers / 10 + PickIndex(simulation, kMembers / 5);
      simulation.Cut(
          [=](auto from, auto to) { return (from < size) == (to < size); });
      simulation.Run(seconds(60));
      for (std::size_t i = size; i < kMembers; ++i) {
        BOOST_TEST(simulation.record(i).evictions == 0U);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_partition_of_data_centres_records_no_death) {
  ForSeeds([](LivenessSimulation& simulation, std::size_t members) {
    if (members < 4) return;
    simulation.Cut([](auto from, auto to) { return from % 2 == to % 2; });
    simulation.Run(seconds(60));
    BOOST_TEST(simulation.record_writes() == 0U);
  });
}

BOOST_AUTO_TEST_CASE(the_members_of_a_failed_rack_are_recorded_dead) {
  constexpr std::uint64_t kRackSeeds = 100;
  for (std::uint64_t seed = 1; seed <= kRackSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      constexpr std::size_t kMembers = 40;
      constexpr std::size_t kRack = 8;
      LivenessSimulation simulation({.seed = seed, .members = kMembers});
      simulation.Run(kWarmUp);
      const auto first = PickIndex(simulation, kMembers);
      for (std::size_t i = 0; i < kRack; ++i) {
        simulation.Kill((first + i) % kMembers);
      }
      simulation.Run(seconds(180));
      BOOST_TEST(simulation.deaths() == kRack);
      BOOST_TEST(simulation.record_writes() == kRack);
    }
  }
}

BOOST_AUTO_TEST_CASE(
    a_paused_member_accepts_no_work_before_it_read_its_announcement) {
  ForSeeds([](LivenessSimulation& simulation, std::size_t members) {
    const auto paused = PickIndex(simulation, members);
    simulation.Pause(paused);
    simulation.Run(seconds(3 + PickIndex(simulation, 40)));
    if (PickIndex(simulation, 2) == 0) simulation.SetStore(false);
    simulation.Continue(paused);
    simulation.Run(seconds(5));
    simulation.SetStore(true);
    simulation.Run(seconds(20));
    BOOST_TEST(simulation.stale_accepts() == 0U);
    BOOST_TEST(simulation.open(paused));
    BOOST_TEST(!simulation.record(paused).dead);
    BOOST_TEST(simulation.deaths() == 0U);
  });
}

BOOST_AUTO_TEST_CASE(a_store_outage_causes_no_false_death) {
  ForSeeds([](LivenessSimulation& simulation, std::size_t members) {
    const auto dead = PickIndex(simulation, members);
    simulation.SetStore(false);
    simulation.Run(seconds(20));
    simulation.Kill(dead);
    simulation.Run(seconds(60));
    BOOST_TEST(simulation.deaths() == 0U);
    simulation.SetStore(true);
    simulation.Run(kMaxDetectionTime);
    BOOST_TEST(simulation.deaths() == 1U);
    BOOST_TEST(simulation.record(dead).dead);
    simulation.Restart(dead);
    simulation.Run(seconds(20));
    BOOST_TEST(simulation.deaths() == 0U);
    BOOST_TEST(simulation.record_writes() == 1U);
  });
}

BOOST_AUTO_TEST_CASE(frames_per_member_do_not_grow_with_the_service) {
  const auto frames_per_member = [](std::size_t members) {
    LivenessSimulation simulation({.members = members, .loss = 0});
    simulation.Run(seconds(60));
    return static_cast<double>(simulation.frames()) /
           static_cast<double>(members);
  };
  const auto small = frames_per_member(20);
  const auto large = frames_per_member(200);
  BOOST_TEST_MESSAGE("frames per member and minute: "
                     << small << " with 20 members, " << large << " with 200");
  BOOST_TEST(large <= small * 1.05);
}

BOOST_AUTO_TEST_CASE(
    a_long_partition_of_regions_stays_within_the_control_traffic_limit) {
  constexpr std::size_t kMembers = 120;
  constexpr double kFrameBytes = 148;
  constexpr double kMaxBytesPerSecond = 3000;
  LivenessSimulation simulation(
      {.seed = 5, .members = kMembers, .data_centers = 3});
  simulation.Run(kWarmUp);
  simulation.Cut([](auto from, auto to) { return from % 3 == to % 3; });
  for (const int minute : {1, 2, 3, 4, 5, 6, 7, 8, 9, 10}) {
    const auto before = simulation.frames();
    simulation.Run(seconds(60));
    const auto rate = static_cast<double>(simulation.frames() - before) /
                      kMembers / 60 * kFrameBytes;
    BOOST_TEST_MESSAGE("minute " << minute << " of a partition: " << rate
                                 << " bytes/s sent per member");
    BOOST_TEST(rate <= kMaxBytesPerSecond);
  }
  BOOST_TEST(simulation.record_writes() == 0U);
}

}  // namespace
}  // namespace cowslip::test
