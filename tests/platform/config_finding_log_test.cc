// Tests that a balancer logs the findings in the documents that it receives and
// brings acceptable ones into force.
#define BOOST_TEST_MODULE platform_config_finding_log
#include "platform/config_finding_log.h"

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <boost/test/unit_test.hpp>
#include <sstream>

#include "platform/config_check.h"
#include "platform/metrics_text.h"
#include "tests/platform/store_fixture.h"

namespace cowslip::platform_adapter::test {
namespace {

using std::chrono::milliseconds;

const Endpoint kStore{0x7f2c0107, 8169};  // 127.44.1.7
constexpr milliseconds kShortTime{500};

/// Collects the log of the process while it exists.
class LogCapture {
 public:
  LogCapture() : previous_(spdlog::default_logger()) {
    auto sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(text_);
    auto logger = std::make_shared<spdlog::logger>("capture", sink);
    logger->set_pattern("level=%l %v");
    spdlog::set_default_logger(logger);
  }
  ~LogCapture() { spdlog::set_default_logger(previous_); }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  /// @return the lines that contain a text.
  std::vector<std::string> Lines(const std::string& part) const {
    std::istringstream text(text_.str());
    std::vector<std::string> lines;
    for (std::string line; std::getline(text, line);) {
      if (line.find(part) != line.npos) lines.push_back(line);
    }
    return lines;
  }

 private:
  std::shared_ptr<spdlog::logger> previous_;
  std::ostringstream text_;
};

/// @return a document with this number of routes to a service that is not
///     listed.
std::string Doubtful(int version, int routes) {
  std::string text = R"({"version":)" + std::to_string(version) +
                     R"(,"services":[],"routes":[)";
  for (int i = 0; i < routes; ++i) {
    text += std::string(i ? "," : "") +
            R"({"host":"198.18.0.1","service":"a","prefix":"/)" +
            std::to_string(i + 1) + "/\"}";
  }
  return text + "]}";
}

struct Fixture : StoreFixture {
  Fixture() : StoreFixture(kStore, kShortTime) {}

  LogCapture log;
};

}  // namespace

// Guards against findings that keep an acceptable document from force.
BOOST_FIXTURE_TEST_CASE(DoubtfulDocumentIsInForceAndItsFindingsAreLogged,
                        Fixture) {
  StartWatching();
  store->Put(kConfigKey, Doubtful(2, 3));
  BOOST_TEST(HasVersion(2, kShortTime));
  const auto lines = log.Lines("place=routes[1].service");
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(lines[0].starts_with(
      "level=warning event=config_finding severity=warning "
      "place=routes[1].service text=\"names "));
  BOOST_TEST(lines[0].ends_with("source=watch"));
  BOOST_TEST(log.Lines("event=config_finding ").size() == 4U);
  BOOST_TEST(follower.numbers().warnings == 3U);
}

// Guards against a log line for each finding of a large document.
BOOST_FIXTURE_TEST_CASE(AtMostEightFindingsOfADocumentAreLogged, Fixture) {
  store->Put(kConfigKey, Doubtful(1, 2000));
  follower.Start();
  BOOST_TEST(HasVersion(1, kShortTime));
  BOOST_TEST(log.Lines("event=config_finding ").size() == 8U);
  const auto omitted = log.Lines("event=config_findings_omitted");
  BOOST_REQUIRE(omitted.size() == 1U);
  BOOST_TEST(omitted[0].find("count=1992 errors=0 warnings=2000") !=
             std::string::npos);
  BOOST_TEST(follower.numbers().warnings == 2000U);
}

// The store is read again after each suspension of the process.
BOOST_FIXTURE_TEST_CASE(FindingsOfADocumentAreLoggedOnce, Fixture) {
  store->Put(kConfigKey, Doubtful(1, 1));
  follower.Start();
  BOOST_TEST(HasVersion(1, kShortTime));
  for (int i = 0; i < 3; ++i) {
    const auto verified_before = verified;
    follower.OnResume();
    BOOST_TEST(
        RunUntil(loop, kShortTime, [&] { return verified > verified_before; }));
  }
  BOOST_TEST(log.Lines("event=config_finding ").size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ErrorsOfARefusedDocumentAreLogged, Fixture) {
  StartWatching();
  store->Put(kConfigKey, R"({"version":2,"routes":[{"host":"198.18.0.1",
                             "prefix":"/80000/","service":"vault"}]})");
  BOOST_TEST(RunUntil(loop, kShortTime, [&] {
    return !log.Lines("event=config_unreadable").empty();
  }));
  BOOST_TEST(follower.version().number == 1U);
  const auto lines = log.Lines("place=routes[0].prefix");
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(
      lines[0].starts_with("level=error event=config_finding severity=error "));
}

// Guards against an error that eight warnings keep out of the log.
BOOST_AUTO_TEST_CASE(ErrorsAreLoggedBeforeWarnings) {
  LogCapture log;
  auto text = Doubtful(1, 20);
  text.replace(text.rfind("198.18.0.1"), 10, "198.18.0.x");
  LogConfigFindings(CheckConfig(text, {}, kMaxLoggedFindings), "test");
  const auto lines = log.Lines("event=config_finding ");
  BOOST_REQUIRE(lines.size() == 8U);
  BOOST_TEST(lines[0].find("place=routes[19].host") != std::string::npos);
  BOOST_TEST(lines[1].find("place=routes[0].service") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(WarningsInForceAreAMetric) {
  const auto text = FormatBalancerMetrics(
      {}, {}, 0, {.in_force = 7, .stored = 7, .warnings = 3}, 0);
  BOOST_TEST(text.find("\ncowslip_config_warnings 3") != std::string::npos);
}

}  // namespace cowslip::platform_adapter::test
