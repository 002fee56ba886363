#define BOOST_TEST_MODULE upstream_watch
#include <boost/test/unit_test.hpp>
#include <random>

#include "cowslip/membership.h"

namespace cowslip::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An upstream that answers, refuses or stays silent, probed in virtual time.
struct Watched {
  enum class Manner { kAnswers, kRefuses, kSilent };

  void Run(Duration time) {
    for (const auto end = now + time; now < end; now += milliseconds(50)) {
      if (watch.TakeProbe(now)) {
        if (manner == Manner::kAnswers) watch.OnAnswered(now);
        if (manner == Manner::kRefuses) watch.OnRefused(now);
      }
      watch.OnTick(now);
      const auto announced = watch.TakeAnnouncement(now);
      if (!announced) continue;
      state = *announced;
      ++writes;
    }
  }

  UpstreamHealth watch{{}};
  Manner manner = Manner::kAnswers;
  TimePoint now{seconds(100)};
  UpstreamState state = UpstreamState::kActive;
  int writes = 0;
};
using Manner = Watched::Manner;

BOOST_AUTO_TEST_CASE(a_dead_process_is_down_and_comes_back_with_two_writes) {
  Watched upstream;
  upstream.Run(seconds(5));
  upstream.manner = Manner::kRefuses;
  upstream.Run(seconds(5));
  BOOST_TEST((upstream.state == UpstreamState::kDown));
  upstream.manner = Manner::kAnswers;
  upstream.Run(seconds(5));
  BOOST_TEST((upstream.state == UpstreamState::kActive));
  BOOST_TEST(upstream.writes == 2);
}

BOOST_AUTO_TEST_CASE(one_that_never_answers_is_up_unless_it_refuses) {
  Watched upstream;
  upstream.manner = Manner::kSilent;
  upstream.Run(seconds(20));
  BOOST_TEST(upstream.writes == 0);
  upstream.manner = Manner::kRefuses;
  upstream.Run(seconds(5));
  upstream.manner = Manner::kSilent;
  upstream.Run(seconds(10));
  BOOST_TEST((upstream.state == UpstreamState::kActive));
}

BOOST_AUTO_TEST_CASE(a_lying_hint_does_not_outweigh_answers) {
  Watched upstream;
  for (int i = 0; i < 20; ++i) {
    upstream.watch.OnHealthHint(false, upstream.now);
    upstream.Run(seconds(1));
  }
  BOOST_TEST(upstream.writes == 0);
  upstream.manner = Manner::kRefuses;
  upstream.Run(seconds(5));
  upstream.watch.OnHealthHint(true, upstream.now);
  BOOST_TEST(upstream.watch.down());
}

BOOST_AUTO_TEST_CASE(flapping_costs_few_writes) {
  std::mt19937_64 generator(7);
  Watched upstream;
  for (int i = 0; i < 600; ++i) {
    upstream.manner =
        generator() % 2 == 0 ? Manner::kAnswers : Manner::kRefuses;
    upstream.Run(seconds(1 + generator() % 5));
  }
  BOOST_TEST_MESSAGE("writes in half an hour of flapping: " << upstream.writes);
  BOOST_TEST(upstream.writes <= 40);
}

/// The relay may bring the record of a death before the first live entry.
BOOST_AUTO_TEST_CASE(one_recorded_dead_before_it_saw_itself_asks) {
  const TimePoint now{std::chrono::hours(1)};
  LeaseGate gate(std::chrono::seconds(5), Incarnation(1), now);
  gate.OnEvent(now);
  gate.OnOwnViewEntry(nullptr);
  BOOST_TEST(gate.admits_work());
  Upstream dead;
  dead.id = UpstreamId(7);
  dead.incarnation = Incarnation(1);
  const View view(1, ticket::TicketState(), {}, {dead});
  BOOST_TEST(!view.IsRecordedDead(UpstreamId(7), Incarnation(2)));
  BOOST_REQUIRE(view.IsRecordedDead(UpstreamId(7), gate.incarnation()));
  gate.OnRecordedDead();
  BOOST_TEST(!gate.admits_work());
  BOOST_TEST(gate.TakeCheck().has_value());
  gate.OnClaimed(Incarnation(2));
  BOOST_TEST(!view.IsRecordedDead(UpstreamId(7), gate.incarnation()));
}

}  // namespace
}  // namespace cowslip::membership
