#define BOOST_TEST_MODULE lost_ticket
#include <boost/test/unit_test.hpp>

#include "relay_simulation.h"

namespace cowslip::relay {
namespace {

using std::chrono::seconds;

std::string TextInForce(const Node& node) {
  const auto texts = node.tickets().ChangesSince(TicketNumber{1});
  return texts.empty() ? "" : texts.back().text;
}

}  // namespace

// The store has lost ticket 2, and another operator submits one with its
// number.
BOOST_AUTO_TEST_CASE(AcceptedTicketWithALostNumberIsInForce) {
  RelaySimulation fleet(11);
  for (int i = 0; i < 8; ++i) fleet.AddBalancer();
  fleet.Run(seconds(20));
  fleet.Submit();
  fleet.Run(seconds(2));
  const auto copy = fleet.CopyStore();
  fleet.Submit("lost");
  fleet.Run(seconds(2));
  BOOST_REQUIRE(fleet.CountWithTicket(2) == fleet.size());
  fleet.RestoreStore(copy);
  fleet.Run(seconds(2));
  fleet.Submit("accepted");
  fleet.Run(seconds(6));
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const auto text = TextInForce(fleet.node(i));
    BOOST_TEST(text.find("author: accepted") != std::string::npos);
  }
}

}  // namespace cowslip::relay
