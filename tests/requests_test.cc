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

BOOST_AUTO_TEST_CASE(LateRepeatedAndUnexpectedResponsesAreDropped) {
  RequestFixture fixture(2);
  fixture.Send(1, RequestFixture::Request(Code::kGet, 7));
  BOOST_REQUIRE(fixture.arrivals.size() == 1u);
  const auto arrival = fixture.arrivals[0];
  const auto other_request = RequestFixture::Request(Code::kGet, 8);
  fixture.Answer(arrival, MakeResponse(other_request, Code::kContent));
  BOOST_TEST(fixture.responses.size() == 0u);
  fixture.Answer(arrival, MakeResponse(arrival.message, Code::kContent));
  fixture.Answer(arrival, MakeResponse(arrival.message, Code::kContent));
  BOOST_TEST(fixture.responses.size() == 1u);
  BOOST_TEST(fixture.network.Total(Counter::kDropForeignReply) == 2u);
}

BOOST_AUTO_TEST_CASE(ResponseAfterTheDeadlineIsDropped) {
  RequestFixture fixture(1);
  fixture.Send(1, RequestFixture::Request(Code::kGet, 7));
  fixture.network.RunFor(std::chrono::seconds(21));
  fixture.Answer(fixture.arrivals.at(0),
                 MakeResponse(fixture.arrivals[0].message, Code::kContent));
  BOOST_TEST(fixture.responses.size() == 0u);
  BOOST_TEST(fixture.network.Total(Counter::kRequestsOverdue) == 1u);
}

BOOST_AUTO_TEST_CASE(RetransmittedConfirmableResponsesAreForwarded) {
  RequestFixture fixture(1);
  fixture.Send(1, RequestFixture::Request(Code::kGet, 7));
  BOOST_TEST(!fixture.Post(1, 8).has_value());
  BOOST_REQUIRE(fixture.arrivals.size() == 2u);
  fixture.responses.clear();
  std::uint16_t id = 100;
  for (const auto& arrival : std::vector(fixture.arrivals)) {
    const auto answer = Confirmable(arrival.message, ++id);
    fixture.Answer(arrival, answer);
    fixture.Answer(arrival, answer);
  }
  BOOST_TEST(fixture.responses.size() == 4u);
}

BOOST_AUTO_TEST_CASE(RefusedIdempotentRequestIsRetriedOnceAtAnotherUpstream) {
  RequestFixture fixture(2);
  fixture.Send(1, RequestFixture::Request(Code::kGet, 7));
  BOOST_TEST(!fixture.Post(1, 8).has_value());
  BOOST_REQUIRE(fixture.arrivals.size() == 2u);
  fixture.responses.clear();
  fixture.RefuseAt(fixture.arrivals[0]);
  BOOST_REQUIRE(fixture.arrivals.size() == 3u);
  const auto retried = fixture.arrivals[2];
  BOOST_TEST((retried.message.code == Code::kGet));
  BOOST_TEST((retried.upstream != fixture.arrivals[0].upstream));
  fixture.Answer(retried, MakeResponse(retried.message, Code::kContent));
  BOOST_REQUIRE(fixture.responses.size() == 2u);
  BOOST_TEST((fixture.responses[0].code == Code::kGatewayTimeout));
  BOOST_TEST((fixture.responses[1].code == Code::kContent));
}

BOOST_AUTO_TEST_CASE(RetriesStayWithinTheBudget) {
  RequestFixture fixture(2, 100, 100);
  for (std::uint16_t i = 1; i <= 30; ++i) {
    fixture.Send(i, RequestFixture::Request(Code::kGet, i));
  }
  const auto first = fixture.arrivals;
  for (const auto& arrival : first) {
    if (arrival.upstream == first[0].upstream) fixture.RefuseAt(arrival);
  }
  const auto retried = fixture.network.Total(Counter::kRequestsRetried);
  BOOST_TEST(retried >= 1u);
  BOOST_TEST(retried <= 10u);
  BOOST_TEST(retried + first.size() == fixture.arrivals.size());
}

BOOST_AUTO_TEST_CASE(CancellationReachesTheUpstream) {
  RequestFixture fixture(2);
  auto observe = RequestFixture::Request(Code::kGet, 7);
  observe.SetUintOption(OptionNumber::kObserve, 0);
  fixture.Send(1, observe);
  auto notification = Confirmable(observe, 50);
  notification.SetUintOption(OptionNumber::kObserve, 1);
  fixture.Answer(fixture.arrivals.at(0), notification);
  coap::Message reset;
  reset.type = coap::Type::kRst;
  reset.message_id = 50;
  fixture.Send(1, reset);
  auto deregister = RequestFixture::Request(Code::kGet, 7);
  deregister.message_id = 9;
  deregister.SetUintOption(OptionNumber::kObserve, 1);
  fixture.Send(1, deregister);
  BOOST_REQUIRE(fixture.arrivals.size() == 3u);
  BOOST_TEST((fixture.arrivals[1].message.type == coap::Type::kRst));
  BOOST_TEST(fixture.arrivals[1].message.message_id == 50);
  BOOST_TEST(*fixture.arrivals[2].message.FindUintOption(
                 OptionNumber::kObserve) == 1u);
}

BOOST_AUTO_TEST_CASE(RenewalOfAFeedIsNotShed) {
  RequestFixture fixture(1, 1, 1);
  auto observe = RequestFixture::Request(Code::kGet, 7);
  observe.SetUintOption(OptionNumber::kObserve, 0);
  fixture.Send(1, observe);
  auto notification = MakeResponse(observe, Code::kContent);
  notification.SetUintOption(OptionNumber::kObserve, 1);
  fixture.Answer(fixture.arrivals.at(0), notification);
  BOOST_TEST(!fixture.Post(2, 8).has_value());
  BOOST_TEST(!fixture.Post(3, 9).has_value());
  fixture.responses.clear();
  observe.message_id = 10;
  fixture.Send(1, observe);
  BOOST_TEST(fixture.arrivals.size() == 4u);
  BOOST_TEST(fixture.responses.size() == 0u);
  notification.type = coap::Type::kNon;
  notification.SetUintOption(OptionNumber::kObserve, 2);
  fixture.Answer(fixture.arrivals.at(0), notification);
  BOOST_TEST(fixture.responses.size() == 1u);
}

BOOST_AUTO_TEST_CASE(DownloadOfAnUnknownFlowIsRestarted) {
  RequestFixture fixture(2);
  auto request = RequestFixture::Request(Code::kGet, 7);
  request.SetUintOption(OptionNumber::kBlock2, Block(3));
  fixture.Send(1, request);
  BOOST_TEST(fixture.arrivals.empty());
  BOOST_REQUIRE(fixture.responses.size() == 1u);
  const auto& answer = fixture.responses[0];
  BOOST_TEST((answer.code == Code::kContent));
  BOOST_TEST(answer.FindOption(OptionNumber::kEtag) != nullptr);
  BOOST_TEST(*answer.FindUintOption(OptionNumber::kBlock2) ==
             (Block(3) | kMoreBlocks));
  for (std::uint16_t number = 0; number < 3; ++number) {
    auto block = RequestFixture::Request(Code::kGet, 10 + number);
    block.SetUintOption(OptionNumber::kBlock2, Block(number));
    fixture.Send(1, block);
  }
  BOOST_TEST(fixture.arrivals.size() == 3u);
}

BOOST_AUTO_TEST_CASE(FullOwnerOffloadsPostsAndKeepsTheFlow) {
  RequestFixture fixture(3, 1, 2);
  fixture.Send(1, RequestFixture::Request(Code::kGet, 1));
  const auto owner = fixture.arrivals.at(0).upstream;
  BOOST_TEST(!fixture.Post(1, 2).has_value());
  BOOST_REQUIRE(fixture.arrivals.size() == 2u);
  const auto delegate = fixture.arrivals[1];
  BOOST_TEST((delegate.upstream != owner));
  BOOST_TEST(fixture.network.Total(Counter::kRequestsPassedOn) == 1u);
  fixture.responses.clear();
  fixture.Answer(delegate, MakeResponse(delegate.message, Code::kContent));
  BOOST_TEST(fixture.responses.size() == 1u);
  fixture.Send(1, RequestFixture::Request(Code::kGet, 1));
  BOOST_TEST((fixture.arrivals.back().upstream == owner));
}

/// A caller that has received an acknowledgement stops retransmitting. If the
/// sidecar then failed, the caller would not get the response that the outcome
/// is unknown.
BOOST_AUTO_TEST_CASE(AcknowledgementOfARunningRequestIsSuppressed) {
  RequestFixture fixture(2);
  BOOST_TEST(!fixture.Post(1, 2).has_value());
  const auto run = fixture.arrivals.at(0);
  fixture.responses.clear();
  coap::Message acknowledgement;
  acknowledgement.type = coap::Type::kAck;
  acknowledgement.message_id = run.message.message_id;
  fixture.Answer(run, acknowledgement);
  BOOST_TEST(fixture.responses.empty());
  fixture.Answer(run, MakeResponse(run.message, Code::kContent));
  BOOST_TEST(fixture.responses.size() == 1u);
}

BOOST_AUTO_TEST_CASE(RequestsBeyondAllSlotsAndQueuesAreShed) {
  constexpr std::uint32_t kCapacity = 3 * (1 + 2);
  RequestFixture fixture(3, 1, 2);
  std::uint32_t shed = 0;
  for (std::uint16_t i = 1; i <= 40; ++i) {
    const auto response = fixture.Post(i, i);
    if (!response) continue;
    BOOST_TEST((response->code == Code::kServiceUnavailable));
    ++shed;
  }
  BOOST_TEST(fixture.arrivals.size() == kCapacity);
  BOOST_TEST(shed == 40 - kCapacity);
  const auto full = fixture.arrivals;
  for (const auto& arrival : full) {
    fixture.Answer(arrival, MakeResponse(arrival.message, Code::kContent));
  }
  BOOST_TEST(!fixture.Post(50, 50).has_value());
  BOOST_TEST(fixture.arrivals.size() == kCapacity + 1);
}

BOOST_AUTO_TEST_CASE(UpstreamThatRefusesGetsFewerRequests) {
  RequestFixture fixture(2, 4, 4);
  fixture.Send(1, RequestFixture::Request(Code::kGet, 1));
  const auto owner = fixture.arrivals.at(0).upstream;
  fixture.Answer(fixture.arrivals[0], MakeResponse(fixture.arrivals[0].message,
                                                   Code::kServiceUnavailable));
  BOOST_TEST(!fixture.Post(1, 2).has_value());
  BOOST_TEST(!fixture.Post(1, 3).has_value());
  BOOST_REQUIRE(fixture.arrivals.size() == 3u);
  BOOST_TEST((fixture.arrivals[1].upstream == owner));
  BOOST_TEST((fixture.arrivals[2].upstream != owner));
}

}  // namespace
}  // namespace cowslip::testing
