#define BOOST_TEST_MODULE lost_ticket
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "relay_simulation.h"

namespace cowslip::relay {
namespace {

namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time within which an accepted ticket is in force at all processes.
constexpr seconds kInForceLimit{6};

std::string TextInForce(const Node& node) {
  const auto texts = node.tickets().ChangesSince({});
  return texts.empty() ? "" : texts.back().text;
}

/// Adds balancers and puts ticket 1 in force.
void Start(RelaySimulation& fleet, int balancers) {
  for (int i = 0; i < balancers; ++i) fleet.AddBalancer();
  fleet.Run(seconds(20));
  fleet.Submit();
  fleet.Run(seconds(2));
}

void Submit(RelaySimulation& fleet, int tickets, const std::string& author) {
  for (int i = 0; i < tickets; ++i) fleet.Submit(author);
  fleet.Run(seconds(2));
}

/// Makes the store lose tickets that are in force.
void LoseTickets(RelaySimulation& fleet, int tickets) {
  const auto copy = fleet.CopyStore();
  Submit(fleet, tickets, "lost");
  fleet.RestoreStore(copy);
  fleet.Run(seconds(2));
}

}  // namespace

// The store has lost ticket 2, and another operator submits one with its
// number.
BOOST_AUTO_TEST_CASE(AcceptedTicketWithALostNumberIsInForce) {
  RelaySimulation fleet(11);
  Start(fleet, 8);
  const auto copy = fleet.CopyStore();
  Submit(fleet, 1, "lost");
  BOOST_REQUIRE(fleet.CountWithTicket(2) == fleet.size());
  fleet.RestoreStore(copy);
  fleet.Run(seconds(2));
  fleet.Submit("accepted");
  fleet.Run(kInForceLimit);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const auto text = TextInForce(fleet.node(i));
    BOOST_TEST(text.find("author: accepted") != std::string::npos);
  }
  BOOST_TEST(fleet.AllHaveTicketsOfStore());
}

// Until operators submit something else, a lost ticket was accepted and holds,
// also at a process that starts.
BOOST_AUTO_TEST_CASE(LostTicketStaysInForce) {
  RelaySimulation fleet(12);
  Start(fleet, 8);
  LoseTickets(fleet, 3);
  fleet.Start(3);
  fleet.Run(kInForceLimit);
  BOOST_TEST(fleet.CountWithTicket(4) == fleet.size());
}

// The number in force goes back from 4 to 2.
BOOST_AUTO_TEST_CASE(AcceptedTicketReplacesSeveralLostOnes) {
  RelaySimulation fleet(13);
  Start(fleet, 8);
  LoseTickets(fleet, 3);
  fleet.Submit("accepted");
  fleet.Run(kInForceLimit);
  BOOST_TEST(fleet.AllHaveTicketsOfStore());
  // Frames of the lost ticket that arrive late.
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.Notice(i, 4);
  fleet.Run(seconds(10));
  const auto calls_before = fleet.store_calls;
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.Notice(i, 4);
  fleet.Run(seconds(60));
  BOOST_TEST(fleet.store_calls == calls_before);
  BOOST_TEST(fleet.AllHaveTicketsOfStore());
}

// The lost tickets were received in a snapshot, without their texts.
BOOST_AUTO_TEST_CASE(TicketsLostAfterASnapshotAreReplaced) {
  RelaySimulation fleet(14);
  Start(fleet, 8);
  Submit(fleet, 70, "kept");
  const auto copy = fleet.CopyStore();
  Submit(fleet, 2, "lost");
  fleet.SetStoreDown(true);
  fleet.seeds = {{1, 1}, {1, 2}};
  const auto late = fleet.AddBalancer();
  fleet.Run(seconds(5));
  BOOST_REQUIRE(Raw(fleet.node(late).tickets().number()) == 73);
  for (std::size_t i = 0; i < late; ++i) fleet.Pause(i, true);
  fleet.RestoreStore(copy);
  fleet.Submit("accepted");
  fleet.SetStoreDown(false);
  fleet.Run(seconds(30));
  const auto& held = fleet.node(late).tickets().state().services();
  BOOST_TEST(held.at(ServiceId{1}).name == "accepted");
}

// A peer sends the tickets in force while the process waits for the response
// to a read of the store before it came back.
BOOST_AUTO_TEST_CASE(DelayedListingDoesNotBringALostTicketBack) {
  const auto stored = [](std::uint64_t number, const std::string& author) {
    return TicketText{
        TicketNumber(number), false,
        "ticket: " + std::to_string(number) + "\nauthor: " + author + "\n"};
  };
  const Listing before{{stored(1, "a"), stored(2, "lost")}, {}, 9};
  const Listing after{{stored(1, "a"), stored(2, "accepted")}, {}, 8};
  TicketLog peer;
  LastReason<ticket::TicketError> reason;
  for (const auto& text : before.tickets) peer.ApplyStored(text, reason);
  peer.ReplaceWith(after.tickets, reason);
  Node node(NodeOptions{}, TimePoint{});
  Effects effects;
  node.OnListing(before, true, effects);
  node.OnStreamUp(StreamId{1}, false, TimePoint{}, effects);
  node.OnMessage(StreamId{1}, Hello{}, TimePoint{}, effects);
  for (const auto& text : peer.ChangesSince(node.tickets().position())) {
    node.OnMessage(StreamId{1}, text, TimePoint{}, effects);
  }
  BOOST_REQUIRE(node.tickets().position() == peer.position());
  effects.Clear();
  node.OnListing(before, true, effects);
  BOOST_TEST(effects.store.read_again);
  BOOST_TEST(TextInForce(node).find("accepted") != std::string::npos);
  node.OnListing(after, true, effects);
  BOOST_TEST((node.tickets().position() == peer.position()));
}

// An operator who had read the store before a compaction writes a number that
// the snapshot covers.
BOOST_AUTO_TEST_CASE(LateWriteBelowTheSnapshotReplacesNothing) {
  const std::string accepted = "ticket: 1\nauthor: a\n";
  TicketLog log;
  LastReason<ticket::TicketError> reason;
  BOOST_REQUIRE(log.ApplyStored({TicketNumber{1}, false, accepted}, reason));
  ticket::Ticket snapshot;
  snapshot.number = TicketNumber{1};
  snapshot.author = "snapshot";
  snapshot.folded = {
      {TicketNumber{1}, "a", "", ticket::TicketDigest(accepted)}};
  const std::vector<TicketText> stored{
      {TicketNumber{1}, true, ticket::FormatTicket(snapshot)},
      {TicketNumber{1}, false, "ticket: 1\nauthor: late\n"}};
  BOOST_TEST(!log.Contradicts(stored));
}

// Random tickets, returns from copies, outages, restarts and duplicates.
BOOST_DATA_TEST_CASE(TicketsOfARestoredStoreAreInForce, data::xrange(1, 41),
                     seed) {
  RelaySimulation fleet(static_cast<std::uint64_t>(seed));
  std::mt19937_64 random(static_cast<std::uint64_t>(seed));
  fleet.duplicate_share = 0.1;
  Start(fleet, 8);
  fleet.seeds = {{1, 1}, {1, 2}};
  auto copy = fleet.CopyStore();
  for (int step = 0; step < 60; ++step) {
    switch (random() % 8) {
      case 0:
        copy = fleet.CopyStore();
        break;
      case 1:
        fleet.RestoreStore(copy);
        fleet.Submit("first" + std::to_string(step));
        break;
      case 2:
        fleet.SetStoreDown(!fleet.store_down);
        break;
      case 3:
        fleet.Start(random() % fleet.size());
        break;
      default:
        fleet.Submit("t" + std::to_string(step));
    }
    fleet.Run(milliseconds(random() % 1500));
  }
  fleet.SetStoreDown(false);
  fleet.Run(seconds(10));
  fleet.Submit("last");
  fleet.Run(kInForceLimit);
  BOOST_TEST(fleet.AllHaveTicketsOfStore(), "seed " << seed);
}

}  // namespace cowslip::relay
