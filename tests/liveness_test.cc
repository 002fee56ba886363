#define BOOST_TEST_MODULE liveness
#include <boost/test/unit_test.hpp>

#include "support/liveness_simulation.h"

namespace cowslip::test {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 1500;
/// Silence, stagger, two stages of an inquiry and one repetition.
constexpr seconds kDeathBound{40};
constexpr seconds kCalm{6};

std::size_t Pick(LivenessSimulation& world, std::size_t members) {
  return world.generator()() % members;
}

/// Runs a scenario for every seed, with 3 to 12 members.
template <typename Scenario>
void ForSeeds(const Scenario& scenario, std::uint64_t seeds = kSeeds) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      const std::size_t members = 3 + seed % 10;
      LivenessSimulation world({.seed = seed, .members = members});
      world.Run(kCalm);
      scenario(world, members);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_death_is_recorded_once_and_nobody_else_is_evicted) {
  ForSeeds([](LivenessSimulation& world, std::size_t members) {
    const auto dead = Pick(world, members);
    world.Kill(dead);
    world.Run(kDeathBound);
    BOOST_TEST(world.record(dead).dead);
    BOOST_TEST(world.deaths() == 1U);
    BOOST_TEST(world.record_writes() == 1U);
  });
}

BOOST_AUTO_TEST_CASE(one_that_is_cut_off_evicts_nobody) {
  ForSeeds([](LivenessSimulation& world, std::size_t members) {
    const auto cut = Pick(world, members);
    world.Cut([cut](auto from, auto to) { return from != cut && to != cut; });
    world.Run(seconds(60));
    for (std::size_t i = 0; i < members; ++i) {
      if (i != cut) BOOST_TEST(world.record(i).evictions == 0U);
    }
  });
}

BOOST_AUTO_TEST_CASE(one_broken_link_evicts_nobody) {
  ForSeeds([](LivenessSimulation& world, std::size_t members) {
    const auto a = Pick(world, members);
    const auto b = (a + 1) % members;
    world.Cut([=](auto from, auto to) {
      return !((from == a && to == b) || (from == b && to == a));
    });
    world.Run(seconds(60));
    BOOST_TEST(world.record_writes() == 0U);
  });
}

BOOST_AUTO_TEST_CASE(a_lying_witness_evicts_nobody_who_lives) {
  ForSeeds([](LivenessSimulation& world, std::size_t members) {
    if (members < 4) return;
    const auto liar = Pick(world, members);
    const auto reporter = (liar + 1) % members;
    const auto subject = (liar + 2) % members;
    world.SetLiar(liar);
    world.Cut([=](auto from, auto to) {
      return !((from == reporter && to == subject) ||
               (from == subject && to == reporter));
    });
    world.Run(seconds(60));
    BOOST_TEST(world.record_writes() == 0U);
  });
}

BOOST_AUTO_TEST_CASE(a_minority_that_is_cut_off_evicts_nobody) {
  ForSeeds([](LivenessSimulation& world, std::size_t members) {
    const auto size = 1 + Pick(world, (members - 1) / 2);
    const auto inside = [=](std::size_t i) { return i < size; };
    world.Cut([=](auto from, auto to) { return inside(from) == inside(to); });
    world.Run(seconds(60));
    for (std::size_t i = size; i < members; ++i) {
      BOOST_TEST(world.record(i).evictions == 0U);
    }
  });
}

BOOST_AUTO_TEST_CASE(a_minority_of_a_large_service_evicts_nobody) {
  constexpr std::uint64_t kLargeSeeds = 60;
  for (std::uint64_t seed = 1; seed <= kLargeSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      constexpr std::size_t kMembers = 120;
      LivenessSimulation world({.seed = seed, .members = kMembers});
      world.Run(kCalm);
      const auto size = kMembers / 10 + Pick(world, kMembers / 5);
      world.Cut(
          [=](auto from, auto to) { return (from < size) == (to < size); });
      world.Run(seconds(60));
      for (std::size_t i = size; i < kMembers; ++i) {
        BOOST_TEST(world.record(i).evictions == 0U);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_split_of_data_centres_evicts_nobody) {
  ForSeeds([](LivenessSimulation& world, std::size_t members) {
    if (members < 4) return;
    world.Cut([](auto from, auto to) { return from % 2 == to % 2; });
    world.Run(seconds(60));
    BOOST_TEST(world.record_writes() == 0U);
  });
}

BOOST_AUTO_TEST_CASE(a_rack_is_recorded) {
  constexpr std::uint64_t kRackSeeds = 100;
  for (std::uint64_t seed = 1; seed <= kRackSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      constexpr std::size_t kMembers = 40;
      constexpr std::size_t kRack = 8;
      LivenessSimulation world({.seed = seed, .members = kMembers});
      world.Run(kCalm);
      const auto first = Pick(world, kMembers);
      for (std::size_t i = 0; i < kRack; ++i) {
        world.Kill((first + i) % kMembers);
      }
      world.Run(seconds(180));
      BOOST_TEST(world.deaths() == kRack);
      BOOST_TEST(world.record_writes() == kRack);
    }
  }
}

BOOST_AUTO_TEST_CASE(one_that_slept_takes_nothing_before_it_has_asked) {
  ForSeeds([](LivenessSimulation& world, std::size_t members) {
    const auto paused = Pick(world, members);
    world.Pause(paused);
    world.Run(seconds(3 + Pick(world, 40)));
    if (Pick(world, 2) == 0) world.SetStore(false);
    world.Continue(paused);
    world.Run(seconds(5));
    world.SetStore(true);
    world.Run(seconds(20));
    BOOST_TEST(world.stale_openings() == 0U);
    BOOST_TEST(world.open(paused));
    BOOST_TEST(!world.record(paused).dead);
    BOOST_TEST(world.deaths() == 0U);
  });
}

BOOST_AUTO_TEST_CASE(an_outage_of_the_store_evicts_nobody_who_lives) {
  ForSeeds([](LivenessSimulation& world, std::size_t members) {
    const auto dead = Pick(world, members);
    world.SetStore(false);
    world.Run(seconds(20));
    world.Kill(dead);
    world.Run(seconds(60));
    BOOST_TEST(world.deaths() == 0U);
    world.SetStore(true);
    world.Run(kDeathBound);
    BOOST_TEST(world.deaths() == 1U);
    BOOST_TEST(world.record(dead).dead);
    world.Restart(dead);
    world.Run(seconds(20));
    BOOST_TEST(world.deaths() == 0U);
    BOOST_TEST(world.record_writes() == 1U);
  });
}

BOOST_AUTO_TEST_CASE(frames_per_member_do_not_grow_with_the_service) {
  const auto frames_per_member = [](std::size_t members) {
    LivenessSimulation world({.members = members, .loss = 0});
    world.Run(seconds(60));
    return static_cast<double>(world.frames()) / static_cast<double>(members);
  };
  const auto small = frames_per_member(20);
  const auto large = frames_per_member(200);
  BOOST_TEST_MESSAGE("frames per member and minute: " << small << " of 20, "
                                                      << large << " of 200");
  BOOST_TEST(large <= small * 1.05);
}

BOOST_AUTO_TEST_CASE(a_long_split_of_regions_fits_the_control_budget) {
  constexpr std::size_t kMembers = 120;
  constexpr double kFrameBytes = 148;
  constexpr double kBudget = 3000;
  LivenessSimulation world({.seed = 5, .members = kMembers, .data_centers = 3});
  world.Run(kCalm);
  world.Cut([](auto from, auto to) { return from % 3 == to % 3; });
  for (const int minute : {1, 2, 3, 4, 5, 6, 7, 8, 9, 10}) {
    const auto before = world.frames();
    world.Run(seconds(60));
    const auto rate = static_cast<double>(world.frames() - before) / kMembers /
                      60 * kFrameBytes;
    BOOST_TEST_MESSAGE("minute " << minute << " of a split: " << rate
                                 << " bytes/s sent by a member");
    BOOST_TEST(rate <= kBudget);
  }
  BOOST_TEST(world.record_writes() == 0U);
}

}  // namespace
}  // namespace cowslip::test
