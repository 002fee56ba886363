// What requests are likely to cost, learned from earlier ones.
#define BOOST_TEST_MODULE cost
#include "cowslip/cost.h"

#include <boost/test/unit_test.hpp>

namespace cowslip::cost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Endpoint kUrgent{0xC6120001, 443};
constexpr Endpoint kBulk{0xC6120001, 8443};

Endpoint MakeAddress(std::uint16_t port) { return {0xC6120002, port}; }

double Milliseconds(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

// Guards against a request that has run for longer than the mean counting as
// nearly done.
BOOST_AUTO_TEST_CASE(LongRunningRequestIsLikelyALongOne) {
  ServiceTimes times;
  for (int i = 0; i < 97; ++i) times.Add(milliseconds(34), Duration{});
  for (int i = 0; i < 3; ++i) times.Add(milliseconds(238), Duration{});
  BOOST_TEST(Milliseconds(times.Mean()) == 40.12,
             boost::test_tools::tolerance(1e-6));
  BOOST_TEST(Milliseconds(times.ExpectedRemaining(Duration{})) == 40.12,
             boost::test_tools::tolerance(1e-6));
  BOOST_TEST(Milliseconds(times.ExpectedRemaining(milliseconds(30))) < 11);
  BOOST_TEST(Milliseconds(times.ExpectedRemaining(milliseconds(60))) == 178,
             boost::test_tools::tolerance(1e-6));
}

// Guards against an upstream that became slow or hangs counting as free soon.
BOOST_AUTO_TEST_CASE(RequestThatOutlastsAllSamplesTakesAsLongAgain) {
  ServiceTimes times;
  times.Add(milliseconds(40), Duration{});
  BOOST_TEST((times.ExpectedRemaining(milliseconds(300)) == milliseconds(300)));
  BOOST_TEST((times.ExpectedRemaining(std::chrono::hours(1)) == seconds(60)));
}

// Guards against a change of speed that is noticed late.
BOOST_AUTO_TEST_CASE(HalfOfTheWeightIsFromTheLastSecondUnderLoad) {
  ServiceTimes times;
  for (int i = 0; i < 5000; ++i) {
    times.Add(milliseconds(10), milliseconds(2 * i));
  }
  for (int i = 0; i < 500; ++i) {
    times.Add(milliseconds(100), seconds(10) + milliseconds(2 * i));
  }
  BOOST_TEST(Milliseconds(times.Mean()) == 55,
             boost::test_tools::tolerance(0.02));
}

// Guards against a mean of one or two samples at an upstream with few requests.
BOOST_AUTO_TEST_CASE(FewSamplesKeepTheirWeight) {
  ServiceTimes times;
  for (int i = 0; i < 9; ++i) times.Add(milliseconds(100), seconds(20 * i));
  times.Add(milliseconds(700), seconds(200));
  BOOST_TEST(Milliseconds(times.Mean()) < 180);
}

// Guards against implausible samples: a clock step, or a request that hung.
BOOST_AUTO_TEST_CASE(ImplausibleSamplesAreLimited) {
  ServiceTimes times;
  times.Add(-seconds(5), Duration{});
  BOOST_TEST((times.Mean() == Duration::zero()));
  times.Add(std::chrono::hours(5), Duration{});
  BOOST_TEST((times.Mean() == seconds(30)));
}

BOOST_AUTO_TEST_CASE(AddressesAreLearnedSeparately) {
  CostModel model;
  BOOST_TEST((model.Mean(kUrgent) == milliseconds(20)));
  BOOST_TEST(
      (model.ExpectedRemaining(kUrgent, milliseconds(5)) == milliseconds(15)));
  for (int i = 0; i < 10; ++i) {
    model.OnServed(kUrgent, milliseconds(10));
    model.OnServed(kBulk, milliseconds(90));
  }
  BOOST_TEST(Milliseconds(model.Mean(kUrgent)) == 10,
             boost::test_tools::tolerance(1e-6));
  BOOST_TEST(Milliseconds(model.Mean(kBulk)) == 90,
             boost::test_tools::tolerance(1e-6));
  // An address without responses.
  BOOST_TEST(Milliseconds(model.Mean(MakeAddress(1))) == 50,
             boost::test_tools::tolerance(1e-6));
}

// Guards against memory that grows with the number of routes.
BOOST_AUTO_TEST_CASE(FurtherAddressesShareADistribution) {
  CostModel model;
  for (std::uint16_t port = 1; port <= 200; ++port) {
    model.OnServed(MakeAddress(port), milliseconds(port <= 16 ? 10 : 50));
  }
  BOOST_TEST(model.services().size() == 17U);
  BOOST_TEST(Milliseconds(model.Mean(MakeAddress(16))) == 10,
             boost::test_tools::tolerance(1e-6));
  BOOST_TEST(Milliseconds(model.Mean(MakeAddress(150))) == 50,
             boost::test_tools::tolerance(1e-6));
}

// Guards against flows of one request that are placed like long-lived ones, and
// against decisions on a few requests.
BOOST_AUTO_TEST_CASE(LongLivedFlowsAreLearnedByAddress) {
  FlowLoadModel model;
  TimePoint now{seconds(100)};
  BOOST_TEST(!model.IsLongLived(kUrgent));
  for (int flow = 0; flow < 20; ++flow) {
    model.OnRequest(kUrgent, 1, now);
    model.OnFlowEnded(kUrgent, 1, now);
  }
  for (std::uint32_t request = 1; request <= 10; ++request) {
    BOOST_TEST(model.IsLongLived(kBulk) == (request > 8));
    model.OnRequest(kBulk, request, now);
  }
  BOOST_TEST(!model.IsLongLived(kUrgent));
  BOOST_TEST(!model.IsLongLived(MakeAddress(1)));
  // Many flows that have just been opened don't make the address look short.
  for (int flow = 0; flow < 50; ++flow) model.OnRequest(kBulk, 1, now);
  BOOST_TEST(model.IsLongLived(kBulk));
  // They do once they have ended after one request each.
  for (int flow = 0; flow < 50; ++flow) model.OnFlowEnded(kBulk, 1, now);
  BOOST_TEST(!model.IsLongLived(kBulk));
}

// Guards against a new flow counting as free, and flows that ended as load.
BOOST_AUTO_TEST_CASE(OpenFlowsOccupySlots) {
  FlowLoadModel model;
  TimePoint now{seconds(100)};
  // Two flows, each with a request of 50 ms in 200 ms.
  for (std::uint32_t request = 1; request <= 100; ++request) {
    for (int flow = 0; flow < 2; ++flow) {
      model.OnRequest(kBulk, request, now);
      model.OnServed(kBulk, milliseconds(50), now);
    }
    now += milliseconds(200);
  }
  BOOST_TEST(model.SlotsWithOneMore(kBulk, now) == 0.75,
             boost::test_tools::tolerance(0.03));
  model.OnFlowEnded(kBulk, 100, now);
  BOOST_TEST(model.SlotsWithOneMore(kBulk, now) == 0.5,
             boost::test_tools::tolerance(0.03));
  model.Reset(now);
  BOOST_TEST(model.SlotsWithOneMore(kBulk, now) == 0.25,
             boost::test_tools::tolerance(0.03));
}

}  // namespace cowslip::cost
