#define BOOST_TEST_MODULE ticket
#include "cowslip/ticket.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace cowslip::ticket {
namespace {

constexpr std::string_view kSecondHeader =
    "ticket: 2\nauthor: quispe\nservices:\n";
constexpr std::string_view kFirstTicket =
    "ticket: 1\nauthor: quispe\nservices:\n"
    "  - {id: 1, name: custody, address: \"10.0.0.1:1\", protocol: coap, "
    "prefer: balance}\n"
    "  - {id: 2, name: vault, address: \"10.0.0.2:1\", protocol: coap, "
    "prefer: continuity}\n";

TicketState StateAfterFirstTicket() {
  LastReason<TicketError> reason;
  const auto ticket = ParseTicket(kFirstTicket, "first", reason);
  BOOST_REQUIRE(ticket.has_value());
  return *TicketState{}.Apply(*ticket, reason);
}

std::string Service(const std::string& id, const std::string& name,
                    const std::string& address, const std::string& more = "") {
  return "  - {id: " + id + ", name: " + name + ", address: \"" + address +
         "\", protocol: coap, prefer: balance" + more + "}\n";
}

/// A ticket that is rejected, and the expected reason.
struct Rejection {
  std::string services;  ///< After kSecondHeader, which has three lines.
  TicketError error;
  std::string location;  ///< "file:line: field".
};

BOOST_AUTO_TEST_CASE(RejectionsNameFileLineAndField) {
  const auto valid = Service("3", "beacon", "10.0.0.3:1");
  const std::vector<Rejection> rejections = {
      {Service("3", "beacon", "10.0.0.3:1", ", colour: red"),
       TicketError::kUnknownKey, "t.yaml:4: services[0].colour"},
      {valid + "extra: 1\n", TicketError::kUnknownKey, "t.yaml:5: extra"},
      {Service("three", "beacon", "10.0.0.3:1"), TicketError::kWrongType,
       "t.yaml:4: services[0].id"},
      {Service("3", "beacon", "nowhere"), TicketError::kWrongType,
       "t.yaml:4: services[0].address"},
      {Service("3", "beacon", "10.0.0.3:1", ", idle_timeout: 5"),
       TicketError::kWrongType, "t.yaml:4: services[0].idle_timeout"},
      {Service("0", "beacon", "10.0.0.3:1"), TicketError::kOutOfRange,
       "t.yaml:4: services[0].id"},
      {valid + Service("4", "leaf", "10.0.0.4:1", ", idle_timeout: 25h"),
       TicketError::kOutOfRange, "t.yaml:5: services[1].idle_timeout"},
      {valid + Service("3", "leaf", "10.0.0.4:1"), TicketError::kDuplicate,
       "t.yaml:5: services[1].id"},
      {valid + Service("4", "beacon", "10.0.0.4:1"), TicketError::kDuplicate,
       "t.yaml:5: services[1].name"},
      {valid + Service("4", "leaf", "10.0.0.3:1"), TicketError::kDuplicate,
       "t.yaml:5: services[1].address"},
      {valid + Service("4", "vault", "10.0.0.4:1"), TicketError::kDuplicate,
       "t.yaml:5: services[1].name"},
      {valid + Service("4", "leaf", "10.0.0.2:1"), TicketError::kDuplicate,
       "t.yaml:5: services[1].address"},
      {valid + "removed:\n  - {id: 1}\n  - {id: 9}\n",
       TicketError::kUnknownService, "t.yaml:7: removed[1].id"},
      {valid + "removed:\n  - {id: 3}\n", TicketError::kDuplicate,
       "t.yaml:6: removed[0].id"},
      {"  - {id: 3}\n", TicketError::kMissingKey, "t.yaml:4: services[0].name"},
      {valid + "folded: []\n", TicketError::kUnknownKey, "t.yaml:5: folded"},
      {valid + "  - {id: 3\n", TicketError::kSyntax, "t.yaml:"},
  };
  const auto state = StateAfterFirstTicket();
  for (const auto& rejection : rejections) {
    LastReason<TicketError> reason;
    const auto text = std::string(kSecondHeader) + rejection.services;
    BOOST_TEST(!ParseTicketAgainst(state, text, "t.yaml", reason).has_value());
    BOOST_TEST(
        static_cast<int>(reason.code()) == static_cast<int>(rejection.error),
        text << reason.Message());
    BOOST_TEST(reason.detail().starts_with(rejection.location),
               reason.Message());
  }
}

BOOST_AUTO_TEST_CASE(NamesOfReplacedAndRemovedServicesAreFree) {
  const auto state = StateAfterFirstTicket();
  LastReason<TicketError> reason;
  const auto text = std::string(kSecondHeader) +
                    Service("1", "vault", "10.0.0.2:1") +
                    "removed:\n  - {id: 2}\n";
  const auto ticket = ParseTicketAgainst(state, text, "t.yaml", reason);
  BOOST_REQUIRE_MESSAGE(ticket.has_value(), reason.Message());
  const auto next = state.Apply(*ticket, reason);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST(next->services().size() == 1);
}

BOOST_AUTO_TEST_CASE(GapsAndOldNumbersAreNotApplied) {
  const auto state = StateAfterFirstTicket();
  for (const int number : {1, 3, 100}) {
    Ticket ticket;
    ticket.number = TicketNumber(number);
    LastReason<TicketError> reason;
    BOOST_TEST(!state.Apply(ticket, reason).has_value());
    BOOST_TEST((reason.code() == TicketError::kNumberNotNext));
  }
}

BOOST_AUTO_TEST_CASE(SnapshotRecreatesTheState) {
  const auto state = StateAfterFirstTicket();
  auto snapshot = state.Snapshot();
  snapshot.folded = {{TicketNumber{1}, "quispe", "a: \"note\"", "00ff"}};
  LastReason<TicketError> reason;
  const auto parsed = ParseSnapshot(FormatTicket(snapshot), "s", reason);
  BOOST_REQUIRE_MESSAGE(parsed.has_value(), reason.Message());
  BOOST_TEST((parsed->folded == snapshot.folded));
  const auto restored = TicketState::FromSnapshot(*parsed);
  BOOST_TEST((restored.services() == state.services()));
  BOOST_TEST((restored.number() == state.number()));
}

Ticket ManyServices(std::uint32_t count, std::size_t name_bytes) {
  Ticket ticket;
  ticket.number = TicketNumber{1};
  ticket.author = "quispe";
  for (std::uint32_t i = 1; i <= count; ++i) {
    cowslip::ticket::Service service;
    service.id = ServiceId{i};
    service.name = "service-" + std::to_string(i);
    service.name.resize(std::max(service.name.size(), name_bytes), 'x');
    service.address = {0x0a000000 + i, 5683};
    ticket.services.push_back(service);
  }
  return ticket;
}

BOOST_AUTO_TEST_CASE(TargetSizeFitsAndTheLimitIsEnforced) {
  constexpr std::uint32_t kTargetServices = 7300;
  constexpr std::size_t kMaxBytes = 1 << 20;
  LastReason<TicketError> reason;
  const auto state =
      TicketState{}.Apply(ManyServices(kTargetServices, 20), reason);
  BOOST_REQUIRE_MESSAGE(state.has_value(), reason.Message());
  const auto bytes = FormatTicket(state->Snapshot()).size();
  BOOST_TEST_MESSAGE("snapshot bytes " << bytes);
  BOOST_TEST(bytes < TicketState::kMaxBytes);
  BOOST_TEST(!TicketState{}.Apply(ManyServices(kTargetServices, 200), reason));
  BOOST_TEST((reason.code() == TicketError::kTooLarge));
  static_assert(TicketState::kMaxBytes < kMaxBytes);
}

}  // namespace
}  // namespace cowslip::ticket
