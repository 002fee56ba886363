#define BOOST_TEST_MODULE upstream_watch
#include <boost/test/unit_test.hpp>
#include <random>

#include "cowslip/membership.h"

namespace cowslip::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An UpstreamHealth in virtual time, whose probes the upstream answers,
/// refuses or ignores.
struct ProbedUpstream {
  enum class Behaviour { kAnswer, kRefuse, kIgnore };

  void Run(Duration time) {
    for (const auto end = now + time; now < end; now += milliseconds(50)) {
      if (watch.TakeProbe(now)) {
        if (behaviour == Behaviour::kAnswer) watch.OnAnswered(now);
        if (behaviour == Behaviour::kRefuse) watch.OnRefused(now);
      }
      watch.OnTick(now);
      const auto announced = watch.TakeAnnouncement(now);
      if (!announced) continue;
      state = *announced;
      ++announcements;
    }
  }

  UpstreamHealth watch{{}};
  Behaviour behaviour = Behaviour::kAnswer;
  TimePoint now{seconds(100)};
  UpstreamState state = UpstreamState::kActive;
  int announcements = 0;
};
using Behaviour = ProbedUpstream::Behaviour;

BOOST_AUTO_TEST_CASE(a_failure_and_a_recovery_are_announced_once_each) {
  ProbedUpstream upstream;
  upstream.Run(seconds(5));
  upstream.behaviour = Behaviour::kRefuse;
  upstream.Run(seconds(5));
  BOOST_TEST((upstream.state == UpstreamState::kDown));
  upstream.behaviour = Behaviour::kAnswer;
  upstream.Run(seconds(5));
  BOOST_TEST((upstream.state == UpstreamState::kActive));
  BOOST_TEST(upstream.announcements == 2);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_never_answers_is_up_unless_it_refuses) {
  ProbedUpstream upstream;
  upstream.behaviour = Behaviour::kIgnore;
  upstream.Run(seconds(20));
  BOOST_TEST(upstream.announcements == 0);
  upstream.behaviour = Behaviour::kRefuse;
  upstream.Run(seconds(5));
  upstream.behaviour = Behaviour::kIgnore;
  upstream.Run(seconds(10));
  BOOST_TEST((upstream.state == UpstreamState::kActive));
}

BOOST_AUTO_TEST_CASE(a_wrong_health_hint_does_not_override_answers) {
  ProbedUpstream upstream;
  for (int i = 0; i < 20; ++i) {
    upstream.watch.OnHealthHint(false, upstream.now);
    upstream.Run(seconds(1));
  }
  BOOST_TEST(upstream.announcements == 0);
  upstream.behaviour = Behaviour::kRefuse;
  upstream.Run(seconds(5));
  upstream.watch.OnHealthHint(true, upstream.now);
  BOOST_TEST(upstream.watch.down());
}

BOOST_AUTO_TEST_CASE(flapping_causes_few_announcements) {
  std::mt19937_64 generator(7);
  ProbedUpstream upstream;
  for (int i = 0; i < 600; ++i) {
    upstream.behaviour =
        generator() % 2 == 0 ? Behaviour::kAnswer : Behaviour::kRefuse;
    upstream.Run(seconds(1 + generator() % 5));
  }
  BOOST_TEST_MESSAGE(
      "announcements in half an hour of flapping: " << upstream.announcements);
  BOOST_TEST(upstream.announcements <= 40);
}

/// The store has lost the claim and shows the predecessor's again.
BOOST_AUTO_TEST_CASE(an_older_own_entry_after_the_present_one_closes_the_gate) {
  const TimePoint now{std::chrono::hours(1)};
  LeaseGate gate(std::chrono::seconds(5), Incarnation(7), now);
  gate.OnEvent(now);
  Upstream entry;
  entry.incarnation = Incarnation(6);
  gate.OnOwnViewEntry(&entry);
  BOOST_TEST(gate.admits_work());
  entry.incarnation = Incarnation(7);
  gate.OnOwnViewEntry(&entry);
  entry.incarnation = Incarnation(6);
  gate.OnOwnViewEntry(&entry);
  BOOST_TEST(!gate.admits_work());
  BOOST_TEST(gate.TakeCheck().has_value());
}

BOOST_AUTO_TEST_CASE(a_claim_that_no_view_shows_is_checked_with_an_open_gate) {
  const TimePoint now{std::chrono::hours(1)};
  LeaseGate gate(std::chrono::seconds(5), Incarnation(7), now);
  int checks = 0;
  for (std::chrono::milliseconds time{0}; time < std::chrono::seconds(60);
       time += std::chrono::milliseconds(100)) {
    gate.OnEvent(now + time);
    gate.OnOwnViewEntry(nullptr);
    BOOST_REQUIRE(gate.admits_work());
    if (!gate.TakeCheck()) continue;
    ++checks;
    BOOST_TEST(time.count() >= 5000);
  }
  // After 5, 15 and 35 s.
  BOOST_TEST(checks == 3);
}

/// The recorded death of an incarnation may reach its process before any view
/// in which the incarnation is alive.
BOOST_AUTO_TEST_CASE(
    a_death_recorded_before_the_first_own_entry_closes_the_gate) {
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
