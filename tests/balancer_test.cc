#define BOOST_TEST_MODULE balancer
#include <boost/test/unit_test.hpp>

#include "cowslip/engine.h"
#include "tests/support/sample_view.h"

namespace cowslip::engine {
namespace {

using std::chrono::milliseconds;

constexpr Endpoint kService{0x7f350001, 5683};
constexpr Endpoint kCaller{0x7f000001, 40000};
constexpr TimePoint kStart{std::chrono::hours(1)};

Balancer MakeBalancer(std::uint32_t members) {
  LastReason<EngineError> reason;
  BalancerOptions options;
  options.id = BalancerId(1);
  auto balancer = Balancer::Create(options, reason);
  balancer->OnView(testing::MakeSampleView(kService, members));
  return std::move(*balancer);
}

/// Sends one caller datagram.
/// @return the endpoint to which the balancer forwards it.
std::optional<Endpoint> Send(Balancer& balancer, TimePoint now) {
  BalancerEffects effects;
  balancer.OnCallerDatagram({{kCaller, kService}, {}}, now, effects);
  for (const auto& frame : effects.frames) {
    if (frame.header.kind == link::FrameKind::kCallerData) return frame.to;
  }
  return std::nullopt;
}

/// Calls OnTick() every 10 ms for some time, without any answer to the probes.
/// @return the time at the end.
TimePoint TickFor(Balancer& balancer, TimePoint from, milliseconds time) {
  constexpr milliseconds kTick{10};
  BalancerEffects effects;
  for (auto now = from; now < from + time; now += kTick) {
    balancer.OnTick(now, effects);
    effects.Clear();
  }
  return from + time;
}

BOOST_AUTO_TEST_CASE(UnresponsiveUpstreamIsSkippedAfterUnansweredProbes) {
  auto balancer = MakeBalancer(2);
  const auto first_target = Send(balancer, kStart);
  BOOST_REQUIRE(first_target);
  auto now = kStart + milliseconds(150);
  BOOST_TEST((Send(balancer, now) == first_target));
  now = TickFor(balancer, now, milliseconds(200));
  BOOST_TEST((Send(balancer, now) == first_target));
  now = TickFor(balancer, now, milliseconds(250));
  const auto later_target = Send(balancer, now);
  BOOST_REQUIRE(later_target);
  BOOST_TEST((*later_target != *first_target));
}

// Guards against a caller whose five transmissions are all sent to a dead
// owner, as each balancer gets one or two of them (answers_test, seed 45).
BOOST_AUTO_TEST_CASE(RetransmissionIsNotSentToAnUnresponsiveUpstream) {
  auto balancer = MakeBalancer(2);
  const auto first_target = Send(balancer, kStart);
  const auto now = TickFor(balancer, kStart, milliseconds(1000));
  const auto later_target = Send(balancer, now);
  BOOST_REQUIRE(later_target);
  BOOST_TEST((later_target != first_target));
}

BOOST_AUTO_TEST_CASE(DatagramIsStillSentWhenAllUpstreamsAreUnresponsive) {
  auto balancer = MakeBalancer(1);
  Send(balancer, kStart);
  Send(balancer, kStart + milliseconds(150));
  const auto now =
      TickFor(balancer, kStart + milliseconds(150), milliseconds(2000));
  BOOST_TEST(Send(balancer, now).has_value());
}

BOOST_AUTO_TEST_CASE(ReplyForAnotherServiceIsDropped) {
  auto balancer = MakeBalancer(1);
  link::Frame reply;
  reply.header.kind = link::FrameKind::kReply;
  reply.header.service = ServiceId(2);
  reply.header.ticket = TicketNumber(1);
  reply.header.flow = {kCaller, kService};
  BalancerEffects effects;
  balancer.OnFrame(reply, {}, kStart, effects);
  BOOST_TEST(effects.datagrams.empty());
  BOOST_TEST(balancer.counters().Get(Counter::kDropWrongService) == 1U);
}

}  // namespace
}  // namespace cowslip::engine
