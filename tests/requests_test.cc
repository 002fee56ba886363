#define BOOST_TEST_MODULE requests
#include <boost/test/unit_test.hpp>

#include "support/request_fixture.h"

namespace cowslip::testing {
namespace {

using coap::Code;
using coap::MakeResponse;
using coap::OptionNumber;
using engine::Counter;

constexpr std::uint32_t kMoreBlocks = 8;

std::uint32_t Block(std::uint32_t number) { return number << 4 | 6; }

coap::Message Confirmable(const coap::Message& request, std::uint16_t id) {
  auto response = MakeResponse(request, Code::kContent);
  response.type = coap::Type::kCon;
  response.message_id = id;
  return response;
}

BOOST_AUTO_TEST_CASE(LateDoubledAndForeignAnswersAreDropped) {
  RequestFixture world(2);
  world.Send(1, RequestFixture::Request(Code::kGet, 7));
  BOOST_REQUIRE(world.arrivals.size() == 1u);
  const auto arrival = world.arrivals[0];
  const auto foreign = RequestFixture::Request(Code::kGet, 8);
  world.Answer(arrival, MakeResponse(foreign, Code::kContent));
  BOOST_TEST(world.responses.size() == 0u);
  world.Answer(arrival, MakeResponse(arrival.message, Code::kContent));
  world.Answer(arrival, MakeResponse(arrival.message, Code::kContent));
  BOOST_TEST(world.responses.size() == 1u);
  BOOST_TEST(world.network.Total(Counter::kDropForeignReply) == 2u);
}

BOOST_AUTO_TEST_CASE(AnswerAfterTheDeadlineIsDropped) {
  RequestFixture world(1);
  world.Send(1, RequestFixture::Request(Code::kGet, 7));
  world.network.RunFor(std::chrono::seconds(21));
  world.Answer(world.arrivals.at(0),
               MakeResponse(world.arrivals[0].message, Code::kContent));
  BOOST_TEST(world.responses.size() == 0u);
  BOOST_TEST(world.network.Total(Counter::kRequestsOverdue) == 1u);
}

BOOST_AUTO_TEST_CASE(RetransmittedConfirmableAnswersPass) {
  RequestFixture world(1);
  world.Send(1, RequestFixture::Request(Code::kGet, 7));
  BOOST_TEST(!world.Post(1, 8).has_value());
  BOOST_REQUIRE(world.arrivals.size() == 2u);
  world.responses.clear();
  std::uint16_t id = 100;
  for (const auto& arrival : std::vector(world.arrivals)) {
    const auto answer = Confirmable(arrival.message, ++id);
    world.Answer(arrival, answer);
    world.Answer(arrival, answer);
  }
  BOOST_TEST(world.responses.size() == 4u);
}

BOOST_AUTO_TEST_CASE(RefusedIdempotentRequestIsRetriedElsewhereOnce) {
  RequestFixture world(2);
  world.Send(1, RequestFixture::Request(Code::kGet, 7));
  BOOST_TEST(!world.Post(1, 8).has_value());
  BOOST_REQUIRE(world.arrivals.size() == 2u);
  world.responses.clear();
  world.RefuseAt(world.arrivals[0]);
  BOOST_REQUIRE(world.arrivals.size() == 3u);
  const auto retried = world.arrivals[2];
  BOOST_TEST((retried.message.code == Code::kGet));
  BOOST_TEST((retried.upstream != world.arrivals[0].upstream));
  world.Answer(retried, MakeResponse(retried.message, Code::kContent));
  BOOST_REQUIRE(world.responses.size() == 2u);
  BOOST_TEST((world.responses[0].code == Code::kGatewayTimeout));
  BOOST_TEST((world.responses[1].code == Code::kContent));
}

BOOST_AUTO_TEST_CASE(RetriesStayWithinTheBudget) {
  RequestFixture world(2, 100, 100);
  for (std::uint16_t i = 1; i <= 30; ++i) {
    world.Send(i, RequestFixture::Request(Code::kGet, i));
  }
  const auto first = world.arrivals;
  for (const auto& arrival : first) {
    if (arrival.upstream == first[0].upstream) world.RefuseAt(arrival);
  }
  const auto retried = world.network.Total(Counter::kRequestsRetried);
  BOOST_TEST(retried >= 1u);
  BOOST_TEST(retried <= 10u);
  BOOST_TEST(retried + first.size() == world.arrivals.size());
}

BOOST_AUTO_TEST_CASE(CancellationReachesTheUpstream) {
  RequestFixture world(2);
  auto observe = RequestFixture::Request(Code::kGet, 7);
  observe.SetUintOption(OptionNumber::kObserve, 0);
  world.Send(1, observe);
  auto notification = Confirmable(observe, 50);
  notification.SetUintOption(OptionNumber::kObserve, 1);
  world.Answer(world.arrivals.at(0), notification);
  coap::Message reset;
  reset.type = coap::Type::kRst;
  reset.message_id = 50;
  world.Send(1, reset);
  auto deregister = RequestFixture::Request(Code::kGet, 7);
  deregister.message_id = 9;
  deregister.SetUintOption(OptionNumber::kObserve, 1);
  world.Send(1, deregister);
  BOOST_REQUIRE(world.arrivals.size() == 3u);
  BOOST_TEST((world.arrivals[1].message.type == coap::Type::kRst));
  BOOST_TEST(world.arrivals[1].message.message_id == 50);
  BOOST_TEST(
      *world.arrivals[2].message.FindUintOption(OptionNumber::kObserve) == 1u);
}

BOOST_AUTO_TEST_CASE(RenewalOfAFeedIsNotShed) {
  RequestFixture world(1, 1, 1);
  auto observe = RequestFixture::Request(Code::kGet, 7);
  observe.SetUintOption(OptionNumber::kObserve, 0);
  world.Send(1, observe);
  auto notification = MakeResponse(observe, Code::kContent);
  notification.SetUintOption(OptionNumber::kObserve, 1);
  world.Answer(world.arrivals.at(0), notification);
  BOOST_TEST(!world.Post(2, 8).has_value());
  BOOST_TEST(!world.Post(3, 9).has_value());
  world.responses.clear();
  observe.message_id = 10;
  world.Send(1, observe);
  BOOST_TEST(world.arrivals.size() == 4u);
  BOOST_TEST(world.responses.size() == 0u);
  notification.type = coap::Type::kNon;
  notification.SetUintOption(OptionNumber::kObserve, 2);
  world.Answer(world.arrivals.at(0), notification);
  BOOST_TEST(world.responses.size() == 1u);
}

BOOST_AUTO_TEST_CASE(DownloadWithoutOwnerStartsOver) {
  RequestFixture world(2);
  auto request = RequestFixture::Request(Code::kGet, 7);
  request.SetUintOption(OptionNumber::kBlock2, Block(3));
  world.Send(1, request);
  BOOST_TEST(world.arrivals.empty());
  BOOST_REQUIRE(world.responses.size() == 1u);
  const auto& answer = world.responses[0];
  BOOST_TEST((answer.code == Code::kContent));
  BOOST_TEST(answer.FindOption(OptionNumber::kEtag) != nullptr);
  BOOST_TEST(*answer.FindUintOption(OptionNumber::kBlock2) ==
             (Block(3) | kMoreBlocks));
  for (std::uint16_t number = 0; number < 3; ++number) {
    auto block = RequestFixture::Request(Code::kGet, 10 + number);
    block.SetUintOption(OptionNumber::kBlock2, Block(number));
    world.Send(1, block);
  }
  BOOST_TEST(world.arrivals.size() == 3u);
}

BOOST_AUTO_TEST_CASE(FullOwnerPassesPostsToGuestsAndKeepsTheFlow) {
  RequestFixture world(3, 1, 2);
  world.Send(1, RequestFixture::Request(Code::kGet, 1));
  const auto owner = world.arrivals.at(0).upstream;
  BOOST_TEST(!world.Post(1, 2).has_value());
  BOOST_REQUIRE(world.arrivals.size() == 2u);
  const auto guest = world.arrivals[1];
  BOOST_TEST((guest.upstream != owner));
  BOOST_TEST(world.network.Total(Counter::kRequestsPassedOn) == 1u);
  world.responses.clear();
  world.Answer(guest, MakeResponse(guest.message, Code::kContent));
  BOOST_TEST(world.responses.size() == 1u);
  world.Send(1, RequestFixture::Request(Code::kGet, 1));
  BOOST_TEST((world.arrivals.back().upstream == owner));
}

/// A caller that has an acknowledgement stops asking; if the owner then dies,
/// nobody tells it that the outcome is unknown.
BOOST_AUTO_TEST_CASE(AcknowledgementOfARunIsHeldBack) {
  RequestFixture world(2);
  BOOST_TEST(!world.Post(1, 2).has_value());
  const auto run = world.arrivals.at(0);
  world.responses.clear();
  coap::Message acknowledgement;
  acknowledgement.type = coap::Type::kAck;
  acknowledgement.message_id = run.message.message_id;
  world.Answer(run, acknowledgement);
  BOOST_TEST(world.responses.empty());
  world.Answer(run, MakeResponse(run.message, Code::kContent));
  BOOST_TEST(world.responses.size() == 1u);
}

BOOST_AUTO_TEST_CASE(OverloadIsShedAtTheEdge) {
  constexpr std::uint32_t kPlaces = 3 * (1 + 2);
  RequestFixture world(3, 1, 2);
  std::uint32_t shed = 0;
  for (std::uint16_t i = 1; i <= 40; ++i) {
    const auto response = world.Post(i, i);
    if (!response) continue;
    BOOST_TEST((response->code == Code::kServiceUnavailable));
    ++shed;
  }
  BOOST_TEST(world.arrivals.size() == kPlaces);
  BOOST_TEST(shed == 40 - kPlaces);
  const auto full = world.arrivals;
  for (const auto& arrival : full) {
    world.Answer(arrival, MakeResponse(arrival.message, Code::kContent));
  }
  BOOST_TEST(!world.Post(50, 50).has_value());
  BOOST_TEST(world.arrivals.size() == kPlaces + 1);
}

BOOST_AUTO_TEST_CASE(UpstreamThatShedsGetsLess) {
  RequestFixture world(2, 4, 4);
  world.Send(1, RequestFixture::Request(Code::kGet, 1));
  const auto owner = world.arrivals.at(0).upstream;
  world.Answer(world.arrivals[0], MakeResponse(world.arrivals[0].message,
                                               Code::kServiceUnavailable));
  BOOST_TEST(!world.Post(1, 2).has_value());
  BOOST_TEST(!world.Post(1, 3).has_value());
  BOOST_REQUIRE(world.arrivals.size() == 3u);
  BOOST_TEST((world.arrivals[1].upstream == owner));
  BOOST_TEST((world.arrivals[2].upstream != owner));
}

}  // namespace
}  // namespace cowslip::testing
