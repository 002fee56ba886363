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

/// Sends one caller datagram. @return the endpoint that received its frame.
std::optional<Endpoint> Send(Balancer& balancer, TimePoint now) {
  BalancerEffects effects;
  balancer.OnCallerDatagram({{kCaller, kService}, {}}, now, effects);
  for (const auto& frame : effects.frames) {
    if (frame.header.kind == link::FrameKind::kCallerData) return frame.to;
  }
  return std::nullopt;
}

/// Ticks as a daemon does, without any answer. @return the end of the time.
TimePoint Tick(Balancer& balancer, TimePoint from, milliseconds time) {
  constexpr milliseconds kTick{10};
  BalancerEffects effects;
  for (auto now = from; now < from + time; now += kTick) {
    balancer.OnTick(now, effects);
    effects.Clear();
  }
  return from + time;
}

BOOST_AUTO_TEST_CASE(SilentUpstreamIsSkippedAfterUnansweredProbes) {
  auto balancer = MakeBalancer(2);
  const auto first = Send(balancer, kStart);
  BOOST_REQUIRE(first);
  auto now = kStart + milliseconds(150);
  BOOST_TEST((Send(balancer, now) == first));
  now = Tick(balancer, now, milliseconds(200));
  BOOST_TEST((Send(balancer, now) == first));
  now = Tick(balancer, now, milliseconds(250));
  const auto later = Send(balancer, now);
  BOOST_REQUIRE(later);
  BOOST_TEST((*later != *first));
}

BOOST_AUTO_TEST_CASE(DatagramIsStillSentWhenAllUpstreamsAreSilent) {
  auto balancer = MakeBalancer(1);
  Send(balancer, kStart);
  Send(balancer, kStart + milliseconds(150));
  const auto now =
      Tick(balancer, kStart + milliseconds(150), milliseconds(2000));
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
