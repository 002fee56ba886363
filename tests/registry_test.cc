#define BOOST_TEST_MODULE registry
#include "cowslip/registry.h"

#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "standins/common/http_server.h"
#include "standins/store/http_face.h"

namespace cowslip::registry {
namespace {

namespace data = boost::unit_test::data;
using Reason = TicketRegistry::Reason;

constexpr char kListen[] = "127.53.210.1:8500";

/// The stand-in store, run in this process.
class TestStore {
 public:
  TestStore()
      : face_(store_, std::chrono::seconds(10)),
        server_(standin::HttpServer::Create(
            kListen, 8,
            [this](const standin::HttpRequest& request) {
              return Handle(request);
            },
            reason_)) {
    BOOST_REQUIRE_MESSAGE(server_.has_value(), reason_.Message());
  }

  TicketRegistry Open() {
    consul::StoreClientOptions options;
    options.urls = {std::string("http://") + kListen};
    options.timeout = std::chrono::seconds(5);
    LastReason<consul::ConsulError> reason;
    return TicketRegistry(*consul::StoreClient::Create(options, reason));
  }

  standin::Store& contents() { return store_; }

  std::atomic<int> lost_answers{0};  ///< Writes whose answers are to be lost.

 private:
  std::optional<standin::HttpResponse> Handle(
      const standin::HttpRequest& request) {
    auto response = face_.Handle(request);
    const bool write = request.method != "GET";
    if (write && lost_answers.fetch_sub(1) > 0) return std::nullopt;
    if (write) lost_answers = 0;
    return response;
  }

  standin::Store store_;
  standin::HttpFace face_;
  LastReason<standin::StandinError> reason_;
  std::optional<standin::HttpServer> server_;
};

std::string TicketYaml(std::uint64_t number, const std::string& author) {
  return "ticket: " + std::to_string(number) + "\nauthor: " + author +
         "\nservices:\n  - {id: 1, name: custody, address: \"10.0.0.1:1\", "
         "protocol: coap, prefer: balance, idle_timeout: " +
         std::to_string(1 + number % 60) + "s}\n";
}

void SubmitRange(TicketRegistry& registry, std::uint64_t from,
                 std::uint64_t to) {
  for (auto number = from; number <= to; ++number) {
    Reason reason;
    const auto accepted =
        registry.Submit(TicketYaml(number, "quispe"), "t.yaml", reason);
    BOOST_REQUIRE_MESSAGE(accepted.has_value(), reason.Message());
  }
}

struct Attempt {
  std::optional<Acceptance> acceptance;
  Reason reason;
};

Attempt SubmitAs(TestStore& store, std::uint64_t number,
                 const std::string& author, std::chrono::microseconds delay) {
  auto registry = store.Open();
  std::this_thread::sleep_for(delay);
  Attempt attempt;
  attempt.acceptance =
      registry.Submit(TicketYaml(number, author), "t.yaml", attempt.reason);
  return attempt;
}

BOOST_AUTO_TEST_CASE(RejectedOperatorGetsTheAuthorOfTheAcceptedTicket) {
  constexpr std::uint64_t kRounds = 100;
  TestStore store;
  std::mt19937_64 random(7);
  for (std::uint64_t number = 1; number <= kRounds; ++number) {
    Attempt first;
    const std::chrono::microseconds delay(random() % 2000);
    std::jthread other(
        [&] { first = SubmitAs(store, number, "quispe", delay); });
    const auto second = SubmitAs(store, number, "nguyen",
                                 std::chrono::microseconds(random() % 2000));
    other.join();
    BOOST_REQUIRE(first.acceptance.has_value() !=
                  second.acceptance.has_value());
    const auto& rejected = first.acceptance ? second.reason : first.reason;
    const std::string winner = first.acceptance ? "quispe" : "nguyen";
    BOOST_TEST((rejected.code() == RegistryError::kNumberTaken));
    BOOST_TEST(rejected.detail() == "held by " + winner +
                                        "; the next number is " +
                                        std::to_string(number + 1));
  }
}

BOOST_AUTO_TEST_CASE(LostAnswersAreResolvedAndResubmissionIsHarmless) {
  TestStore store;
  auto registry = store.Open();
  Reason reason;
  store.lost_answers = 1;
  const auto lost = registry.Submit(TicketYaml(1, "quispe"), "t.yaml", reason);
  BOOST_REQUIRE_MESSAGE(lost.has_value(), reason.Message());
  const auto again = registry.Submit(TicketYaml(1, "quispe"), "t.yaml", reason);
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST(again->already_accepted);
  BOOST_TEST(
      !registry.Submit(TicketYaml(1, "nguyen"), "t.yaml", reason).has_value());
  BOOST_TEST((reason.code() == RegistryError::kNumberTaken));
  BOOST_TEST(Raw(registry.Read(reason)->state.number()) == 1);
}

BOOST_AUTO_TEST_CASE(GapsOldNumbersAndPartialServicesAreRejected) {
  TestStore store;
  auto registry = store.Open();
  SubmitRange(registry, 1, 3);
  Reason reason;
  BOOST_TEST(
      !registry.Submit(TicketYaml(5, "quispe"), "t.yaml", reason).has_value());
  BOOST_TEST((reason.code() == RegistryError::kNumberNotNext));
  BOOST_TEST(reason.detail() == "the next number is 4");
  BOOST_TEST(
      !registry.Submit(TicketYaml(2, "nguyen"), "t.yaml", reason).has_value());
  BOOST_TEST((reason.code() == RegistryError::kNumberTaken));
  const std::string partial =
      "ticket: 4\nauthor: quispe\nservices:\n  - {id: 1, idle_timeout: 5s}\n";
  BOOST_TEST(!registry.Submit(partial, "t.yaml", reason).has_value());
  BOOST_TEST((reason.code() == RegistryError::kInvalid));
  BOOST_TEST(reason.detail().find("t.yaml:4: services[0].name") !=
             std::string::npos);
  BOOST_TEST(Raw(registry.Read(reason)->state.number()) == 3);
}

BOOST_DATA_TEST_CASE(CompactionIsSafeAgainstACrashAtEachStep,
                     data::xrange(0, 8), steps) {
  constexpr std::uint64_t kTickets = 6;
  TestStore store;
  auto registry = store.Open();
  SubmitRange(registry, 1, kTickets);
  Reason reason;
  const auto before = registry.Read(reason);
  auto abandoned = Compaction::Plan(registry, reason);
  BOOST_REQUIRE(abandoned.has_value());
  for (int i = 0; i < steps; ++i) BOOST_TEST(abandoned->Step(reason));
  const auto after_crash = registry.Read(reason);
  BOOST_REQUIRE(after_crash.has_value());
  BOOST_TEST((after_crash->state.number() == before->state.number()));
  BOOST_TEST((after_crash->state.services() == before->state.services()));
  SubmitRange(registry, kTickets + 1, kTickets + 1);
  auto again = Compaction::Plan(registry, reason);
  while (!again->done()) BOOST_REQUIRE(again->Step(reason));
  const auto after = registry.Read(reason);
  BOOST_TEST(after->tickets.empty());
  BOOST_TEST(Raw(after->state.number()) == kTickets + 1);
  BOOST_TEST(after->folded.size() == kTickets + 1);
}

BOOST_AUTO_TEST_CASE(NoNumberIsUsedTwiceAfterCompaction) {
  TestStore store;
  auto registry = store.Open();
  SubmitRange(registry, 1, 4);
  Reason reason;
  auto compaction = Compaction::Plan(registry, reason);
  while (!compaction->done()) BOOST_REQUIRE(compaction->Step(reason));
  // A write by an operator who read the store before the tickets were created.
  BOOST_TEST(registry.client()
                 .PutCas(ticket::TicketKey(TicketNumber{4}),
                         TicketYaml(4, "nguyen"), 0,
                         *std::make_unique<LastReason<consul::ConsulError>>())
                 ->applied);
  BOOST_TEST(
      !registry.Submit(TicketYaml(4, "nguyen"), "t.yaml", reason).has_value());
  BOOST_TEST((reason.code() == RegistryError::kNumberTaken));
  BOOST_TEST(reason.detail() == "held by quispe; the next number is 5");
  const auto repeated =
      registry.Submit(TicketYaml(4, "quispe"), "t.yaml", reason);
  BOOST_REQUIRE(repeated.has_value());
  BOOST_TEST(repeated->already_accepted);
  SubmitRange(registry, 5, 5);
}

BOOST_AUTO_TEST_CASE(OneOfTwoCompactionsIsRejected) {
  TestStore store;
  auto registry = store.Open();
  SubmitRange(registry, 1, 2);
  Reason reason;
  auto first = Compaction::Plan(registry, reason);
  auto second = Compaction::Plan(registry, reason);
  BOOST_TEST(first->Step(reason));
  BOOST_TEST(!second->Step(reason));
  BOOST_TEST((reason.code() == RegistryError::kNumberTaken));
}

/// The store loses ticket 3 after it was read, and gives its modification index
/// to another ticket 3.
BOOST_DATA_TEST_CASE(CompactionDoesNotDeleteATicketThatItHasNotFolded,
                     data::xrange(0, 4), steps) {
  TestStore store;
  auto registry = store.Open();
  SubmitRange(registry, 1, 2);
  store.contents().SaveCopy();
  SubmitRange(registry, 3, 3);
  Reason reason;
  auto compaction = Compaction::Plan(registry, reason);
  BOOST_REQUIRE(compaction.has_value());
  for (int i = 0; i < steps; ++i) BOOST_REQUIRE(compaction->Step(reason));
  if (steps > 0) {
    // The snapshot of the lost ticket is lost too.
    BOOST_REQUIRE(!compaction->done());
  }
  store.contents().RestoreCopy();
  BOOST_REQUIRE(
      registry.Submit(TicketYaml(3, "nguyen"), "t.yaml", reason).has_value());
  while (!compaction->done() && compaction->Step(reason)) continue;
  BOOST_TEST(!compaction->done());
  const auto history = registry.Read(reason);
  BOOST_REQUIRE(history.has_value());
  BOOST_TEST(history->AuthorAt(TicketNumber{3}) == "nguyen");
}

/// During submissions and compactions the number of the state that readers see
/// never decreases.
BOOST_AUTO_TEST_CASE(NumberNeverDecreasesForReadersDuringCompaction) {
  TestStore store;
  std::atomic<bool> done{false};
  std::jthread writer([&] {
    auto registry = store.Open();
    for (std::uint64_t number = 1; number <= 30; ++number) {
      Reason reason;
      registry.Submit(TicketYaml(number, "quispe"), "t.yaml", reason);
      if (number % 4 != 0) continue;
      auto compaction = Compaction::Plan(registry, reason);
      while (!compaction->done() && compaction->Step(reason)) continue;
    }
    done = true;
  });
  auto registry = store.Open();
  TicketNumber highest{};
  while (!done) {
    Reason reason;
    const auto history = registry.Read(reason);
    BOOST_REQUIRE_MESSAGE(history.has_value(), reason.Message());
    BOOST_REQUIRE(history->state.number() >= highest);
    highest = history->state.number();
  }
  writer.join();
  Reason reason;
  BOOST_TEST(Raw(registry.Read(reason)->state.number()) == 30);
}

}  // namespace
}  // namespace cowslip::registry
