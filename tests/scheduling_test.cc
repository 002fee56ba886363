// Rules of the scheduling package: order, slots, limits and memory, one by one.
#define BOOST_TEST_MODULE scheduling
#include "cowslip/scheduling.h"

#include <boost/test/unit_test.hpp>

namespace cowslip::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
constexpr milliseconds kService{40};

FlowKey MakeFlow(std::uint16_t port) {
  return {{0x64400001, port}, {0xC6120001, 443}};
}

RequestTerms MakeTerms(std::uint8_t priority, milliseconds target,
                       milliseconds limit) {
  return {priority, target, limit};
}

const RequestTerms kUrgent = MakeTerms(1, milliseconds(200), seconds(2));
const RequestTerms kOther = MakeTerms(2, milliseconds(800), seconds(8));

/// A scheduler with requests of 100 bytes.
class Fixture {
 public:
  explicit Fixture(std::uint32_t slots = 1) { scheduler.SetSlots(slots); }

  PacketOutcome Submit(std::uint16_t port, const RequestTerms& terms,
                       TimePoint now, std::uint32_t seq = 0) {
    return scheduler.Submit(MakeFlow(port), terms, now,
                            {seq, seq + 100, packet}, now);
  }
  /// Takes all slots with flows 9000 and up.
  void Fill(TimePoint now) {
    for (std::uint16_t i = 0; scheduler.slots().HasRoom(); ++i) {
      BOOST_REQUIRE((Submit(9000 + i, kOther, now) == PacketOutcome::kSend));
    }
  }
  /// Ends a running request of Fill() and gives its slot to the next one.
  /// @return the port of that flow, 0 if there is none.
  int EndOneAndTake(TimePoint now) {
    for (std::uint16_t port = 9000; port < 9100; ++port) {
      if (scheduler.Free(MakeFlow(port))) break;
    }
    return Take(now);
  }
  int Take(TimePoint now) {
    const auto ready = scheduler.TakeNext(now, kService);
    return ready ? ready->flow.caller.port : 0;
  }

  Bytes packet = Bytes(120);
  RequestScheduler scheduler;
};

}  // namespace

// Guards against an upstream that idles for a round trip after each response,
// and against requests that pile up in its own queue.
BOOST_AUTO_TEST_CASE(UpstreamGetsOneRequestMoreThanItHasSlots) {
  Fixture fixture(2);
  BOOST_TEST((fixture.Submit(1, kUrgent, kStart) == PacketOutcome::kSend));
  BOOST_TEST((fixture.Submit(2, kUrgent, kStart) == PacketOutcome::kSend));
  BOOST_TEST((fixture.Submit(3, kUrgent, kStart) == PacketOutcome::kSend));
  BOOST_TEST((fixture.Submit(4, kUrgent, kStart) == PacketOutcome::kHeld));
  BOOST_TEST(fixture.scheduler.waiting() == 1U);
}

// Guards against urgent requests that wait for less urgent ones.
BOOST_AUTO_TEST_CASE(MoreUrgentComesFirst) {
  Fixture fixture;
  fixture.Fill(kStart);
  fixture.Submit(1, kOther, kStart);
  fixture.Submit(2, kUrgent, kStart + milliseconds(1));
  BOOST_TEST(fixture.EndOneAndTake(kStart + milliseconds(5)) == 2);
  BOOST_TEST(fixture.EndOneAndTake(kStart + milliseconds(5)) == 1);
}

BOOST_AUTO_TEST_CASE(EarlierTargetComesFirstWithinAPriority) {
  Fixture fixture;
  fixture.Fill(kStart);
  fixture.Submit(1, MakeTerms(1, milliseconds(500), seconds(2)), kStart);
  fixture.Submit(2, MakeTerms(1, milliseconds(300), seconds(2)), kStart);
  BOOST_TEST(fixture.EndOneAndTake(kStart + milliseconds(5)) == 2);
}

// Guards against slots that are spent on responses that come late, while others
// that could be in time become late too.
BOOST_AUTO_TEST_CASE(RequestsThatCanBeInTimeComeBeforeLateOnes) {
  Fixture fixture;
  fixture.Fill(kStart);
  fixture.Submit(1, kUrgent, kStart);
  const auto later = kStart + milliseconds(170);
  fixture.Submit(2, kOther, later);
  // 170 ms and 40 ms of service exceed the target of 200 ms.
  BOOST_TEST(fixture.EndOneAndTake(later) == 2);
  BOOST_TEST(fixture.EndOneAndTake(later) == 1);
}

// Guards against a late request that waits for ever behind a stream of less
// urgent ones that are in time.
BOOST_AUTO_TEST_CASE(LateRequestIsNotStarvedByLessUrgentOnes) {
  Fixture fixture;
  fixture.Fill(kStart);
  fixture.Submit(1, kUrgent, kStart);
  std::uint16_t port = 100;
  auto now = kStart + milliseconds(170);
  TimePoint served{};
  while (served == TimePoint{} && now < kStart + seconds(2)) {
    fixture.Submit(port, kOther, now);
    fixture.Submit(port + 1, kOther, now);
    port += 2;
    // One of the requests taken here ends in each step.
    const int next = fixture.EndOneAndTake(now);
    if (next == 1) served = now;
    if (next > 1) {
      fixture.scheduler.Free(MakeFlow(static_cast<std::uint16_t>(next)));
    }
    now += milliseconds(10);
  }
  BOOST_TEST((served >= kStart + seconds(1)));
  BOOST_TEST((served < kStart + seconds(1) + milliseconds(20)));
}

// Guards against slots that are spent on callers that have given up.
BOOST_AUTO_TEST_CASE(RequestThatCannotBeAnsweredTakesNoSlot) {
  Fixture fixture;
  fixture.Fill(kStart);
  fixture.Submit(1, kUrgent, kStart);
  const auto too_late = kStart + seconds(2) - milliseconds(39);
  BOOST_TEST(
      fixture.scheduler.DropUnanswerable(too_late - milliseconds(1), kService)
          .empty());
  BOOST_TEST(fixture.EndOneAndTake(too_late) == 0);
  const auto dropped = fixture.scheduler.DropUnanswerable(too_late, kService);
  BOOST_REQUIRE(dropped.size() == 1U);
  BOOST_TEST((dropped.front().flow == MakeFlow(1)));
  BOOST_TEST(dropped.front().end_seq == 100U);
  BOOST_TEST((dropped.front().waited == too_late - kStart));
  BOOST_TEST(fixture.scheduler.waiting() == 0U);
  BOOST_TEST(fixture.scheduler.bytes() == 0U);
}

// Guards against slots that are lost for good when an upstream never answers.
BOOST_AUTO_TEST_CASE(SlotComesBackAtTheTimeLimit) {
  Fixture fixture;
  BOOST_TEST((fixture.Submit(1, kUrgent, kStart) == PacketOutcome::kSend));
  BOOST_TEST(
      (fixture.Submit(2, RequestTerms{}, kStart) == PacketOutcome::kSend));
  BOOST_TEST((fixture.Submit(3, kOther, kStart) == PacketOutcome::kHeld));
  const auto limit = kStart + seconds(2);
  BOOST_TEST(fixture.scheduler.FreeOverdue(limit - milliseconds(1)).empty());
  const auto freed = fixture.scheduler.FreeOverdue(limit);
  BOOST_REQUIRE(freed.size() == 1U);
  BOOST_TEST((freed.front() == MakeFlow(1)));
  BOOST_TEST(fixture.Take(limit) == 3);
  // Without a known limit: 5 s.
  BOOST_TEST(
      fixture.scheduler.FreeOverdue(kStart + milliseconds(4999)).empty());
  BOOST_TEST(fixture.scheduler.FreeOverdue(kStart + seconds(5)).size() == 1U);
}

// Guards against slots that are free while a request waits.
BOOST_AUTO_TEST_CASE(SlotsNeverIdleWhileARequestWaits) {
  Fixture fixture(2);
  auto now = kStart;
  std::uint16_t port = 0;
  std::vector<FlowKey> running;
  for (int step = 0; step < 2000; ++step) {
    now += milliseconds(7);
    // 3 requests arrive in the time in which 2 end.
    for (int i = 0; i < (step % 2 == 0 ? 1 : 2); ++i) {
      const auto& terms = port % 3 == 0 ? kUrgent : kOther;
      ++port;
      if (fixture.Submit(port, terms, now) == PacketOutcome::kSend) {
        running.push_back(MakeFlow(port));
      }
    }
    if (!running.empty()) {
      fixture.scheduler.Free(running.front());
      running.erase(running.begin());
    }
    fixture.scheduler.DropUnanswerable(now, kService);
    while (const int next = fixture.Take(now)) {
      running.push_back(MakeFlow(static_cast<std::uint16_t>(next)));
    }
    const bool idles = fixture.scheduler.slots().HasIdleSlot() &&
                       fixture.scheduler.waiting() > 0;
    BOOST_REQUIRE(!idles);
  }
}

// Guards against packets that reach the upstream in another order or twice.
BOOST_AUTO_TEST_CASE(PacketsAreHeldInOrderWithoutDuplicates) {
  Fixture fixture;
  fixture.Fill(kStart);
  // Sequence numbers that wrap around.
  constexpr std::uint32_t kFirst = UINT32_MAX - 49;
  const Bytes packets[] = {Bytes(10, 1), Bytes(10, 2), Bytes(10, 3)};
  const auto packet = [&](std::uint32_t number) {
    return DataPacket{kFirst + number * 100, kFirst + (number + 1) * 100,
                      packets[number]};
  };
  const auto flow = MakeFlow(1);
  auto& scheduler = fixture.scheduler;
  BOOST_TEST((scheduler.Submit(flow, kUrgent, kStart, packet(0), kStart) ==
              PacketOutcome::kHeld));
  BOOST_TEST((scheduler.Hold(flow, packet(2)) == PacketOutcome::kHeld));
  BOOST_TEST((scheduler.Hold(flow, packet(1)) == PacketOutcome::kHeld));
  for (std::uint32_t i = 0; i < 3; ++i) {
    BOOST_TEST((scheduler.Hold(flow, packet(i)) == PacketOutcome::kDuplicate));
  }
  const auto ready = scheduler.TakeNow(flow, kStart);
  BOOST_REQUIRE(ready.has_value());
  BOOST_REQUIRE(ready->packets.size() == 3U);
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_TEST((ready->packets[i] == packets[i]));
  }
}

BOOST_AUTO_TEST_CASE(MemoryOfAFlowIsLimited) {
  Fixture fixture;
  fixture.Fill(kStart);
  const Bytes packet(1400);
  const auto flow = MakeFlow(1);
  fixture.scheduler.Submit(flow, kUrgent, kStart, {0, 1400, packet}, kStart);
  std::uint32_t seq = 1400;
  while (fixture.scheduler.Hold(flow, {seq, seq + 1400, packet}) ==
         PacketOutcome::kHeld) {
    seq += 1400;
    BOOST_REQUIRE(seq < 30'000);
  }
  BOOST_TEST((fixture.scheduler.Hold(flow, {seq, seq + 1400, packet}) ==
              PacketOutcome::kNoMemory));
  const auto ready = fixture.scheduler.TakeNow(flow, kStart);
  BOOST_TEST(ready->packets.size() == 13U);
  BOOST_TEST(fixture.scheduler.bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(MemoryOfAllFlowsIsLimited) {
  Fixture fixture;
  fixture.Fill(kStart);
  const Bytes large(1400);
  std::uint16_t port = 1;
  while (fixture.scheduler.Submit(MakeFlow(port), kUrgent, kStart,
                                  {0, 1400, large},
                                  kStart) == PacketOutcome::kHeld) {
    BOOST_REQUIRE(++port < 5000);
  }
  BOOST_TEST(fixture.scheduler.bytes() <= RequestScheduler::kMaxBytes);
  BOOST_TEST(fixture.scheduler.bytes() + 2000 > RequestScheduler::kMaxBytes);

  Fixture small;
  small.Fill(kStart);
  port = 1;
  while (small.Submit(port, kUrgent, kStart) == PacketOutcome::kHeld) ++port;
  BOOST_TEST(small.scheduler.queued() == RequestScheduler::kMaxRequests);
  BOOST_TEST(small.scheduler.bytes() <= RequestScheduler::kMaxBytes);
}

// A process that was suspended: what can't be answered any more is dropped, the
// rest continues.
BOOST_AUTO_TEST_CASE(RequestsOfASuspensionAreDroppedAtTheirLimits) {
  Fixture fixture;
  fixture.Fill(kStart);
  fixture.Submit(1, kUrgent, kStart);
  fixture.Submit(2, kOther, kStart);
  const auto resumed = kStart + seconds(4);
  BOOST_TEST(fixture.scheduler.DropUnanswerable(resumed, kService).size() ==
             1U);
  BOOST_TEST(fixture.EndOneAndTake(resumed) == 2);
}

BOOST_AUTO_TEST_CASE(RestartOfTheUpstreamDropsAll) {
  Fixture fixture;
  fixture.Fill(kStart);
  fixture.Submit(1, kUrgent, kStart);
  fixture.scheduler.Announce(MakeFlow(2), kUrgent, kStart, kStart);
  BOOST_TEST(
      fixture.scheduler.Reset(kStart, [](const FlowKey&) { return false; })
          .size() == 1U);
  BOOST_TEST(fixture.scheduler.queued() == 0U);
  BOOST_TEST(fixture.scheduler.bytes() == 0U);
  BOOST_TEST(fixture.scheduler.slots().taken() == 0U);
  BOOST_TEST((fixture.Submit(3, kUrgent, kStart) == PacketOutcome::kSend));
}

// Guards against unclassified requests of the previous build that displace
// classified ones, or that wait for ever.
BOOST_AUTO_TEST_CASE(UnknownClassIsLeastUrgentWithATargetOfASecond) {
  Fixture fixture;
  fixture.Fill(kStart);
  fixture.Submit(1, RequestTerms{}, kStart);
  fixture.Submit(2, MakeTerms(254, seconds(3), seconds(8)), kStart);
  fixture.Submit(3, MakeTerms(255, seconds(2), seconds(8)), kStart);
  BOOST_TEST(fixture.EndOneAndTake(kStart) == 2);
  BOOST_TEST(fixture.EndOneAndTake(kStart) == 1);
  BOOST_TEST(fixture.scheduler.DropUnanswerable(kStart + seconds(7), kService)
                 .empty());
}

// Guards against a SYN that is accepted for a response which will be late
// because of requests ahead of it, or refused because of requests behind it.
BOOST_AUTO_TEST_CASE(ForecastCountsOnlyRequestsAhead) {
  Fixture fixture;
  fixture.Fill(kStart);
  for (std::uint16_t port = 1; port <= 10; ++port) {
    fixture.Submit(port, kOther, kStart);
  }
  const auto urgent =
      fixture.scheduler.Forecast(kUrgent, kStart, kStart, kService);
  BOOST_TEST((urgent.answer_time == 3 * kService));
  BOOST_TEST(urgent.in_time);
  const auto other =
      fixture.scheduler.Forecast(kOther, kStart, kStart, kService);
  BOOST_TEST((other.answer_time == 13 * kService));
  BOOST_TEST(other.in_time);
  // An announced first request counts like one that waits.
  fixture.scheduler.Announce(MakeFlow(100), kUrgent, kStart, kStart);
  BOOST_TEST((fixture.scheduler.Forecast(kUrgent, kStart, kStart, kService)
                  .answer_time == 4 * kService));
  BOOST_TEST(fixture.scheduler.Withdraw(MakeFlow(100)));
  BOOST_TEST(!fixture.scheduler.Withdraw(MakeFlow(1)));
}

BOOST_AUTO_TEST_CASE(ForecastTellsWhatWouldBeDisplaced) {
  Fixture fixture;
  fixture.Fill(kStart);
  // Three requests that are just in time behind the two in progress.
  const auto tight = MakeTerms(2, 5 * kService, seconds(8));
  for (std::uint16_t port = 1; port <= 3; ++port) {
    fixture.Submit(port, tight, kStart);
  }
  const auto forecast =
      fixture.scheduler.Forecast(kUrgent, kStart, kStart, kService);
  BOOST_TEST(forecast.in_time);
  BOOST_TEST(forecast.makes_late);
  BOOST_TEST(!forecast.displaces_only_more_urgent);

  // A late urgent request, at its last moment, behind a less urgent one.
  Fixture late;
  late.Fill(kStart);
  late.Submit(1, MakeTerms(1, milliseconds(1), 3 * kService), kStart);
  const auto displacing =
      late.scheduler.Forecast(kOther, kStart, kStart, kService);
  BOOST_TEST(displacing.in_time);
  BOOST_TEST(displacing.displaces_only_more_urgent);
}

BOOST_AUTO_TEST_CASE(CapacityIsWhatTimeLimitsAllow) {
  Fixture fixture(2);
  BOOST_TEST(fixture.scheduler.CapacityWithin(milliseconds(200), kService,
                                              kStart) == 10U);
  fixture.Fill(kStart);
  fixture.Submit(1, kOther, kStart);
  BOOST_TEST(fixture.scheduler.CapacityWithin(milliseconds(200), kService,
                                              kStart) == 6U);
  BOOST_TEST(fixture.scheduler.CapacityWithin(milliseconds(39), kService,
                                              kStart) == 0U);
}

}  // namespace cowslip::scheduling
