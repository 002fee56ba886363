// Tests the check of a configuration document: findings, differences and the
// program `cowslip-platform check`.
#define BOOST_TEST_MODULE platform_config_check
#include "platform/config_check.h"

#include <algorithm>
#include <boost/process.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "platform/check_command.h"
#include "platform/config_diff.h"
#include "platform/json.h"
#include "platform/place_order.h"
#include "platform/route_document.h"

namespace cowslip::platform_adapter::test {
namespace {

constexpr std::size_t kKeepAll = 1'000'000;

const std::string kRoute =
    R"({"host":"198.18.0.1","prefix":"/80/","service":"vault",
        "sloMs":300,"timeoutMs":1500,"priority":1})";
const std::string kServices =
    R"("services":[{"name":"vault"}],"limits":{"idleTimeoutMs":60000})";

/// @return a document of version 2 with these routes.
std::string WithRoutes(const std::string& routes) {
  return R"({"version":2,"routes":[)" + routes + "]," + kServices + "}";
}

/// @return a document with one route that has these fields besides its address.
std::string WithRoute(const std::string& fields) {
  return WithRoutes(R"({"host":"198.18.0.1","prefix":"/80/",)" + fields + "}");
}

/// @return "severity place" of each finding, in order.
std::vector<std::string> Findings(const std::string& document,
                                  std::optional<std::uint64_t> in_force = {}) {
  std::vector<std::string> found;
  for (const auto& each : CheckConfig(document, in_force, kKeepAll).findings) {
    BOOST_TEST(!each.text.empty());
    BOOST_TEST(each.text.find('\n') == std::string::npos);
    found.push_back(std::string(ToString(each.severity)) + " " + each.place);
  }
  return found;
}

/// Expects exactly these findings, and that the parser agrees with them.
void Expect(const std::string& document, std::vector<std::string> expected,
            std::optional<std::uint64_t> in_force = {}) {
  BOOST_TEST_CONTEXT(document.substr(0, 300)) {
    BOOST_TEST(Findings(document, in_force) == expected,
               boost::test_tools::per_element());
    const bool has_error =
        std::any_of(expected.begin(), expected.end(),
                    [](const auto& each) { return each.starts_with("error"); });
    LastReason<AdapterError> reason;
    BOOST_TEST(ParseRouteDocument(document, reason).has_value() == !has_error);
  }
}

std::vector<std::string> Differences(const std::string& before,
                                     const std::string& after) {
  std::vector<std::string> lines;
  for (const auto& each : CompareConfigs(before, after)) {
    lines.push_back(std::string(ToString(each.change)) + " " + each.place +
                    " " + each.before + " -> " + each.after);
  }
  return lines;
}

void ExpectDifferences(const std::string& before, const std::string& after,
                       std::vector<std::string> expected) {
  BOOST_TEST(Differences(before, after) == expected,
             boost::test_tools::per_element());
}

/// A directory for documents, removed at the end.
class Directory {
 public:
  Directory()
      : path_(std::filesystem::temp_directory_path() /
              ("config_check_test." + std::to_string(::getpid()))) {
    std::filesystem::create_directories(path_);
  }
  ~Directory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  Directory(const Directory&) = delete;
  Directory& operator=(const Directory&) = delete;

  std::string path() const { return path_; }
  /// @return the path of a new file with this text.
  std::string Write(const std::string& name, const std::string& text) const {
    std::ofstream(path_ / name, std::ios::binary) << text;
    return path_ / name;
  }

 private:
  std::filesystem::path path_;
};

struct Outcome {
  int code = -1;
  std::string output;
  std::string errors;
};

/// Runs the program `cowslip-platform check` with a file as standard input.
Outcome RunProgram(std::vector<std::string> arguments,
                   const std::string& input = "/dev/null") {
  namespace process = boost::process;
  arguments.insert(arguments.begin(), "check");
  process::ipstream output;
  process::ipstream errors;
  process::child child(COWSLIP_PLATFORM_PROGRAM, process::args(arguments),
                       process::std_in<input, process::std_out> output,
                       process::std_err > errors);
  using Iterator = std::istreambuf_iterator<char>;
  // What is read fits into the buffer of a pipe, so that the order of the two
  // does not matter.
  Outcome outcome;
  outcome.output = std::string(Iterator(output), Iterator());
  outcome.errors = std::string(Iterator(errors), Iterator());
  child.wait();
  outcome.code = child.exit_code();
  return outcome;
}

/// Makes documents that are mostly well-formed JSON, with fields that are
/// valid, doubtful, invalid, of another type, or missing.
class RandomDocuments {
 public:
  explicit RandomDocuments(std::uint64_t seed) : random_(seed) {}

  std::string Next() {
    std::string text = "{";
    Field(text, "version", {"7", "0", "18446744073709551615"},
          {"-1", "1.5", "\"7\"", "null", "18446744073709551616"});
    if (!Chance(50)) {
      text += Separator(text) + "\"routes\":[";
      for (auto count = random_() % 4; count > 0; --count) {
        text += Route() + (count > 1 ? "," : "");
      }
      text += "]";
    }
    Field(text, "services",
          {R"([{"name":"a"}])", "[]", "{}", "3", R"([1,{"name":2}])"}, {});
    Field(text, "limits",
          {"{}", "[]", R"({"idleTimeoutMs":5})", R"({"idleTimeoutMs":"x"})",
           R"({"warmupPerS":3,"warmupS":0})"},
          {});
    return text + "}";
  }

  /// @return the text with up to two bytes changed.
  std::string Damage(std::string text) {
    constexpr std::string_view kBytes = "{}[]\",:/0123456789.-e \n\\a";
    for (auto count = random_() % 3; count > 0; --count) {
      text[random_() % text.size()] = kBytes[random_() % kBytes.size()];
    }
    return text;
  }

 private:
  using Pool = std::vector<std::string>;

  /// @return true once in `one_in` calls.
  bool Chance(std::uint64_t one_in) { return random_() % one_in == 0; }
  const std::string& Pick(const Pool& pool) {
    return pool[random_() % pool.size()];
  }
  static std::string Separator(const std::string& text) {
    return text.back() == '{' ? "" : ",";
  }
  /// Appends a field that is rarely invalid, and rarely missing or repeated.
  void Field(std::string& text, const std::string& name, const Pool& valid,
             const Pool& invalid) {
    if (Chance(20)) return;
    do {
      const bool bad = !invalid.empty() && Chance(15);
      text +=
          Separator(text) + "\"" + name + "\":" + Pick(bad ? invalid : valid);
    } while (Chance(30));
  }
  std::string Route() {
    if (Chance(40)) return Pick({"3", "null", "[]", "\"x\"", "{}"});
    std::string text = "{";
    Field(text, "host", {"\"198.18.0.1\"", "\"198.18.0.2\"", "\"0.0.0.0\""},
          {"\"198.18.0\"", "\"1.2.3.4.5\"", "\"\"", "7", "null",
           "\"198.18.0.1\\u0000x\"", "\"::1\""});
    Field(text, "prefix", {"\"/80/\"", "\"/65535/\"", "\"/0/\"", "\"/080/\""},
          {"\"/65536/\"", "\"//\"", "\"/\"", "\"\"", "\"80\"", "80", "\"/-1/\"",
           "\"/+1/\"", "\"/ 1/\"", "\"/1x/\"", "null"});
    if (Chance(2)) {
      Field(text, "service", {"\"a\"", "\"b\"", "\"\""}, {"3", "null", "[]"});
    } else {
      Field(text, "split", {"[" + Part() + "," + Part() + "]"},
            {"[]", "{}", "null", "3", "[3]", "[null]", "[[]]"});
    }
    const Pool numbers{"0",  "5",   "6",     "3600001", "18446744073709551615",
                       "-1", "2.5", "\"x\"", "null",    "[]"};
    Field(text, "sloMs", numbers, {});
    Field(text, "timeoutMs", numbers, {});
    Field(text, "priority", numbers, {});
    return text + "}";
  }
  std::string Part() {
    std::string text = "{";
    Field(text, "service", {"\"a\"", "\"b\""}, {"3", "null"});
    Field(text, "weight",
          {"0", "1", "0.5", "1e300", "-0.0", "18446744073709551615"},
          {"-1", "-1e-300", "\"1\"", "null", "true", "1e400"});
    return text + "}";
  }

  std::mt19937_64 random_;
};

}  // namespace

BOOST_AUTO_TEST_CASE(DocumentWithoutContradictionsHasNoFindings) {
  Expect(WithRoutes(kRoute), {}, 1);
  Expect(R"({"version":1,"routes":[]})", {});
}

// Guards against an answer other than an error for input that is no document.
BOOST_AUTO_TEST_CASE(TextThatIsNoJsonObjectIsAnError) {
  const std::string brackets(100'000, '[');
  const std::string arrays = std::string(3000, '[') + std::string(3000, ']');
  for (const auto& text :
       {std::string(), std::string(" \n"), std::string("nonsense"),
        std::string("[]"), std::string("3"), std::string("{\"version\":1,}"),
        std::string("{\"version\":1"), std::string("\xEF\xBB\xBF{}"),
        std::string("{\"a\":\"\xFF\"}"), brackets, arrays,
        "{\"extra\":" + arrays + "}"}) {
    Expect(text, {"error document"});
  }
}

BOOST_AUTO_TEST_CASE(MissingOrWrongFieldsOfTheRootAreErrors) {
  Expect("{}", {"error routes", "error version"});
  Expect(R"({"version":"1","routes":{}})", {"error routes", "error version"});
  Expect(R"({"version":-1,"routes":[]})", {"error version"});
  Expect(R"({"version":1.5,"routes":[]})", {"error version"});
}

BOOST_AUTO_TEST_CASE(NumbersThatAreTooLargeAreErrors) {
  Expect(R"({"version":18446744073709551615,"routes":[]})", {});
  Expect(R"({"version":18446744073709551616,"routes":[]})", {"error document"});
  Expect(R"({"version":1e400,"routes":[]})", {"error document"});
}

BOOST_AUTO_TEST_CASE(MissingOrWrongFieldsOfARouteAreErrors) {
  Expect(WithRoutes(kRoute + ",3,null,[]"),
         {"error routes[1]", "error routes[2]", "error routes[3]"});
  Expect(R"({"version":1,"routes":[{}]})",
         {"error routes[0].host", "error routes[0].prefix",
          "error routes[0].service"});
  Expect(R"({"version":1,"routes":[{"host":1,"prefix":2,"service":3}]})",
         {"error routes[0].host", "error routes[0].prefix",
          "error routes[0].service"});
  Expect(R"({"version":1,"routes":[
             {"host":"198.18.0","prefix":"/80/","service":"a"}]})",
         {"error routes[0].host"});
}

BOOST_AUTO_TEST_CASE(PortsOutOfRangeAreErrors) {
  for (const auto* prefix : {"8443", "/x/", "/70000/", "/65536/", "//", "/", "",
                             "/-1/", "/+1/", "/99999999999999999999/"}) {
    Expect(std::string(R"({"version":1,"routes":[{"host":"198.18.0.1",)") +
               R"("service":"a","prefix":")" + prefix + "\"}]}",
           {"error routes[0].prefix"});
  }
  Expect(R"({"version":1,"routes":[
             {"host":"198.18.0.1","prefix":"/0/","service":"a"}]})",
         {"warning routes[0].prefix"});
}

BOOST_AUTO_TEST_CASE(InvalidSplitIsAnError) {
  for (const auto* split : {"[]", "{}", "null", "3"}) {
    Expect(WithRoute(std::string("\"service\":\"vault\",\"split\":") + split),
           {"error routes[0].split", "warning services[0]"});
  }
  Expect(
      WithRoute(R"("split":[{"service":"vault","weight":1},3,{},
                               {"service":4,"weight":"1"},
                               {"service":"vault","weight":-1}])"),
      {"error routes[0].split[1]", "error routes[0].split[2].service",
       "error routes[0].split[2].weight", "error routes[0].split[3].service",
       "error routes[0].split[3].weight", "error routes[0].split[4].weight"});
}

// The balancers use the first of two such routes, without a message.
BOOST_AUTO_TEST_CASE(RouteBehindAnotherIsAWarning) {
  const std::string same_port = R"({"host":"198.18.0.1","prefix":"/080/",
                                    "service":"vault"})";
  const std::string other_port = R"({"host":"198.18.0.1","prefix":"/81/",
                                     "service":"vault"})";
  Expect(WithRoutes(kRoute + "," + other_port + "," + same_port),
         {"warning routes[2]"});
  const auto report =
      CheckConfig(WithRoutes(kRoute + "," + same_port), {}, kKeepAll);
  BOOST_TEST(report.findings.at(0).text.find("routes[0]") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(WeightsOfZeroAreWarnings) {
  Expect(WithRoute(R"("split":[{"service":"vault","weight":0},
                               {"service":"vault","weight":0.9}])"),
         {"warning routes[0].split"});
  Expect(WithRoute(R"("split":[{"service":"vault","weight":0},
                               {"service":"vault","weight":0.9},
                               {"service":"vault","weight":2}])"),
         {"warning routes[0].split[0].weight",
          "warning routes[0].split[1].weight"});
  Expect(WithRoute(R"("split":[{"service":"vault","weight":1e300}])"),
         {"warning routes[0].split[0].weight"});
}

BOOST_AUTO_TEST_CASE(ServicesAndRoutesHaveToMatch) {
  Expect(R"({"version":1,"services":[{"name":"a"},{"name":"b"}],"routes":[
             {"host":"198.18.0.1","prefix":"/80/","service":"a"},
             {"host":"198.18.0.1","prefix":"/81/","split":[
                {"service":"a","weight":1},{"service":"c","weight":1}]}]})",
         {"warning routes[1].split[1].service", "warning services[1]"});
  Expect(R"({"version":1,"services":[],"routes":[
             {"host":"198.18.0.1","prefix":"/80/","service":"a"}]})",
         {"warning routes[0].service"});
  // Without a list there is nothing to compare with.
  Expect(R"({"version":1,"routes":[
             {"host":"198.18.0.1","prefix":"/80/","service":"a"}]})",
         {});
  Expect(R"({"version":1,"routes":[],"services":{}})", {"warning services"});
  Expect(R"({"version":1,"routes":[],"services":[3,{},{"name":4}]})",
         {"warning services[0].name", "warning services[1].name",
          "warning services[2].name"});
}

BOOST_AUTO_TEST_CASE(TimesOfARouteHaveToMatch) {
  const std::string service = R"("service":"vault",)";
  Expect(WithRoute(service + R"("sloMs":1500,"timeoutMs":1500)"), {});
  Expect(WithRoute(service + R"("sloMs":1501,"timeoutMs":1500)"),
         {"warning routes[0].sloMs"});
  Expect(WithRoute(service + R"("sloMs":300,"timeoutMs":60000)"), {});
  Expect(WithRoute(service + R"("sloMs":300,"timeoutMs":60001)"),
         {"warning routes[0].timeoutMs"});
  Expect(WithRoute(service + R"("sloMs":300,"timeoutMs":0)"),
         {"warning routes[0].timeoutMs"});
  Expect(WithRoute(service + R"("sloMs":18446744073709551615)"),
         {"warning routes[0].sloMs"});
}

// The parser ignores such fields, so that routes silently have no limits.
BOOST_AUTO_TEST_CASE(IgnoredFieldsAreWarnings) {
  Expect(WithRoute(R"("service":"vault","sloMs":"300","timeoutMs":-1,
                      "priority":1.5)"),
         {"warning routes[0].priority", "warning routes[0].sloMs",
          "warning routes[0].timeoutMs"});
  Expect(R"({"version":1,"routes":[],"limits":3})", {"warning limits"});
  Expect(R"({"version":1,"routes":[],"limits":{"idleTimeoutMs":"60"}})",
         {"warning limits.idleTimeoutMs"});
}

BOOST_AUTO_TEST_CASE(WarmUpLimitWithoutWarmUpIsAWarning) {
  const std::string start = R"({"version":1,"routes":[],)";
  Expect(start + R"("warmupPerS":20,"warmupS":0})", {"warning warmupPerS"});
  Expect(start + R"("limits":{"warmupPerS":20,"warmupS":0}})",
         {"warning limits.warmupPerS"});
  Expect(start + R"("limits":{"warmupPerS":20},"warmupS":0})",
         {"warning limits.warmupPerS"});
  Expect(start + R"("limits":{"warmupPerS":-1}})",
         {"warning limits.warmupPerS"});
  Expect(R"({"version":1,"limits":{"warmupS":2},"routes":[
             {"host":"198.18.0.1","prefix":"/80/","service":"a"},
             {"host":"198.18.0.1","prefix":"/81/","service":"b"}],
             "services":[{"name":"a","warmupPerS":20},
                         {"name":"b","warmupPerS":20,"warmupS":0.0}]})",
         {"warning services[1].warmupPerS"});
  // 0 means no limit; without a duration there is no contradiction.
  Expect(start + R"("warmupPerS":0,"warmupS":0})", {});
  Expect(start + R"("warmupPerS":20})", {});
  Expect(start + R"("warmupPerS":20,"warmupS":2})", {});
}

BOOST_AUTO_TEST_CASE(NumberThatIsNotGreaterIsAWarning) {
  const auto document = WithRoutes(kRoute);  // version 2
  Expect(document, {}, 1);
  Expect(document, {"warning version"}, 2);
  Expect(document, {"warning version"}, 3);
  Expect(R"({"version":0,"routes":[]})", {"warning version"});
}

// Guards against routes[10] before routes[2].
BOOST_AUTO_TEST_CASE(FindingsAreSortedByPlace) {
  std::string routes;
  for (int i = 0; i < 12; ++i) routes += std::string(i ? "," : "") + "{}";
  const auto found = Findings(R"({"version":"x","routes":[)" + routes + "]}");
  BOOST_REQUIRE(found.size() == 37U);
  BOOST_TEST(found[6] == "error routes[2].host");
  BOOST_TEST(found[30] == "error routes[10].host");
  BOOST_TEST(found[36] == "error version");
}

BOOST_AUTO_TEST_CASE(PlaceOrderIsAStrictOrder) {
  const std::vector<std::string> sorted{
      "",          "routes",     "routes[0]",  "routes[0].a",
      "routes[2]", "routes[02]", "routes[10]", "routes[99999999999999999999]"};
  const PlaceOrder less;
  for (std::size_t i = 0; i < sorted.size(); ++i) {
    for (std::size_t j = 0; j < sorted.size(); ++j) {
      if (sorted[i] == "routes[02]" || sorted[j] == "routes[02]") {
        BOOST_TEST((less(sorted[i], sorted[j]) + less(sorted[j], sorted[i])) ==
                   (i == j ? 0 : 1));
      } else {
        BOOST_TEST(less(sorted[i], sorted[j]) == (i < j));
      }
    }
  }
}

// Guards against a check that finds fault with what the balancers accept, or
// none with what they refuse.
BOOST_AUTO_TEST_CASE(ErrorsAgreeWithTheParser) {
  RandomDocuments documents(5);
  int accepted = 0;
  int refused = 0;
  for (int i = 0; i < 60'000; ++i) {
    auto text = documents.Next();
    if (i % 2 == 1) text = documents.Damage(text);
    LastReason<AdapterError> reason;
    const bool accepts = ParseRouteDocument(text, reason).has_value();
    (accepts ? accepted : refused)++;
    const auto report = CheckConfig(text, {}, kKeepAll);
    BOOST_REQUIRE_MESSAGE(accepts == (report.errors == 0), text);
  }
  BOOST_TEST_MESSAGE("accepted " << accepted << ", refused " << refused);
  BOOST_TEST(accepted > 10'000);
  BOOST_TEST(refused > 10'000);
}

// A balancer keeps only what it logs of a document with very many findings.
BOOST_AUTO_TEST_CASE(FindingsThatAreNotKeptAreCounted) {
  std::string routes = "3";
  for (int i = 1; i < 1000; ++i) routes += ",3";
  const auto report =
      CheckConfig(R"({"version":0,"routes":[)" + routes + "]}", {}, 8);
  BOOST_TEST(report.findings.size() == 9U);
  BOOST_TEST(report.errors == 1000U);
  BOOST_TEST(report.warnings == 1U);
  BOOST_TEST(report.omitted() == 992U);
}

BOOST_AUTO_TEST_CASE(LargeDocumentsAreCheckedQuickly) {
  std::string routes;
  std::string services;
  for (int i = 0; i < 2000; ++i) {
    const auto host =
        "198.18." + std::to_string(i / 256) + "." + std::to_string(i % 256);
    routes += std::string(i ? "," : "") + R"({"host":")" + host +
              R"(","prefix":"/80/","sloMs":9,"timeoutMs":5,"note":")" +
              std::string(300, 'x') + R"(","split":[)" +
              R"({"service":"a","weight":0},{"service":"b","weight":9}]})";
    services +=
        std::string(i ? "," : "") + R"({"name":"s)" + std::to_string(i) + "\"}";
  }
  const auto document = R"({"version":1,"routes":[)" + routes +
                        "],\"services\":[" + services + "]}";
  BOOST_TEST(document.size() > 900'000U);
  BOOST_TEST(document.size() < 1'100'000U);
  const auto start = std::chrono::steady_clock::now();
  const auto report = CheckConfig(document, 1, kKeepAll);
  const auto differences = CompareConfigs(document, document);
  const std::chrono::duration<double, std::milli> took =
      std::chrono::steady_clock::now() - start;
  BOOST_TEST_MESSAGE("checked and compared in " << took.count() << " ms");
  BOOST_TEST(report.warnings == 10'001U);
  BOOST_TEST(differences.empty());
  BOOST_TEST(took.count() < 500);
}

BOOST_AUTO_TEST_CASE(SameContentInAnotherOrderHasNoDifferences) {
  ExpectDifferences(
      R"({"version":1,"routes":[
          {"host":"198.18.0.1","prefix":"/80/","service":"a","sloMs":1},
          {"host":"198.18.0.1","prefix":"/81/","service":"a"}],
          "services":[{"name":"a"},{"name":"b"}]})",
      R"({"services":[{"name":"b"},{"name":"a"}],"routes":[
          {"host":"198.18.0.1","prefix":"/081/","service":"a"},
          {"sloMs":1,"service":"a","prefix":"/80/","host":"198.18.0.1"}],
          "version":1})",
      {});
}

BOOST_AUTO_TEST_CASE(DifferencesOfRoutes) {
  ExpectDifferences(
      R"({"version":1,"routes":[
          {"host":"198.18.0.1","prefix":"/80/","service":"a","sloMs":1},
          {"host":"198.18.0.1","prefix":"/81/","service":"a"}]})",
      R"({"version":2,"routes":[
          {"host":"198.18.0.1","prefix":"/80/","timeoutMs":5,
           "split":[{"service":"a", "weight":1}],"sloMs":2},
          {"host":"198.18.0.1","prefix":"/443/","service":"b"}]})",
      {R"(removed routes[198.18.0.1:80].service "a" -> )",
       R"(changed routes[198.18.0.1:80].sloMs 1 -> 2)",
       R"(added routes[198.18.0.1:80].split  -> [{"service":"a","weight":1}])",
       R"(added routes[198.18.0.1:80].timeoutMs  -> 5)",
       R"(removed routes[198.18.0.1:81] {"service":"a"} -> )",
       R"(added routes[198.18.0.1:443]  -> {"service":"b"})",
       R"(changed version 1 -> 2)"});
}

BOOST_AUTO_TEST_CASE(DifferencesOfServicesAndLimits) {
  ExpectDifferences(
      R"({"version":1,"routes":[],"services":[{"name":"a","warmupS":2},
          {"name":"b"}],"limits":{"idleTimeoutMs":5,"x":1},"extra":[1]})",
      R"({"version":1,"routes":[],"services":[{"name":"a","warmupS":3},
          {"name":"c"}],"limits":{"idleTimeoutMs":6,"y":1}})",
      {R"(removed extra [1] -> )", R"(changed limits.idleTimeoutMs 5 -> 6)",
       R"(removed limits.x 1 -> )", R"(added limits.y  -> 1)",
       R"(changed services["a"].warmupS 2 -> 3)",
       R"(removed services["b"] {} -> )", R"(added services["c"]  -> {})"});
}

BOOST_AUTO_TEST_CASE(ProgramEndsWithTheExitCodeOfTheOutcome) {
  const Directory files;
  const auto clean = files.Write("clean", WithRoutes(kRoute));
  const auto doubtful = files.Write("doubtful", WithRoutes(""));
  const auto wrong = files.Write("wrong", WithRoutes(kRoute + ",3"));
  const auto empty = files.Write("empty", "");
  BOOST_TEST(RunProgram({clean}).code == 0);
  BOOST_TEST(RunProgram({"--json", clean}).code == 0);
  BOOST_TEST(RunProgram({doubtful}).code == 1);
  BOOST_TEST(RunProgram({wrong}).code == 2);
  BOOST_TEST(RunProgram({empty}).code == 2);
  BOOST_TEST(RunProgram({clean, "--in-force", clean}).code == 1);
  BOOST_TEST(RunProgram({clean, "--in-force=" + doubtful}).code == 1);
  BOOST_TEST(RunProgram({clean, "--in-force", wrong}).code == 2);
  BOOST_TEST(RunProgram({"--help"}).code == 0);
}

BOOST_AUTO_TEST_CASE(WrongArgumentsAreAUsageError) {
  const std::vector<std::vector<std::string>> cases{
      {},
      {"a", "b"},
      {"a", "--unknown"},
      {"a", "--in-force"},
      {"a", "--in-force="},
      {"a", "--in-force", "b", "--in-force", "c"},
      {"-", "--in-force", "-"},
      {""}};
  for (const auto& arguments : cases) {
    const auto outcome = RunProgram(arguments);
    BOOST_TEST(outcome.code == 64);
    BOOST_TEST(outcome.output.empty());
    BOOST_TEST(outcome.errors.find("usage: ") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(UnreadableFilesAreNamed) {
  const Directory files;
  const auto clean = files.Write("clean", WithRoutes(kRoute));
  const auto missing = files.path() + "/missing";
  for (const auto& name : {missing, files.path()}) {
    for (const auto& arguments :
         {std::vector<std::string>{name}, {clean, "--in-force", name}}) {
      const auto outcome = RunProgram(arguments);
      BOOST_TEST(outcome.code == 66);
      BOOST_TEST(outcome.output.empty());
      BOOST_TEST(outcome.errors.starts_with(name + ": "));
    }
  }
}

BOOST_AUTO_TEST_CASE(DashReadsStandardInput) {
  const Directory files;
  const auto clean = files.Write("clean", WithRoutes(kRoute));
  const auto next = files.Write(
      "next", R"({"version":3,"routes":[)" + kRoute + "]," + kServices + "}");
  BOOST_TEST(RunProgram({"-"}, clean).code == 0);
  BOOST_TEST(RunProgram({"-"}).code == 2);
  const auto outcome = RunProgram({next, "--in-force", "-"}, clean);
  BOOST_TEST(outcome.code == 0);
  BOOST_TEST(outcome.output ==
             "changed: version: 2 -> 3\n"
             "errors: 0, warnings: 0, differences: 1\n");
}

// Guards against line breaks and quotes of a document in the output.
BOOST_AUTO_TEST_CASE(EachFindingIsOneLine) {
  const Directory files;
  const auto file = files.Write(
      "file", R"({"version":2,"routes":[{"host":"a\nb","prefix":"\"",
                  "service":"a\n\u001b"}],"services":[{"name":"x\ry"}]})");
  const auto outcome = RunProgram({file});
  BOOST_TEST(outcome.code == 2);
  BOOST_TEST(std::count(outcome.output.begin(), outcome.output.end(), '\n') ==
             5);
  BOOST_TEST(outcome.output.find_first_of("\r\x1b") == std::string::npos);
  BOOST_TEST(outcome.output.starts_with(
      "error: routes[0].host: \"a\\u000ab\" is not an IPv4 address;"));
  BOOST_TEST(outcome.output.ends_with("errors: 2, warnings: 2\n"));
}

BOOST_AUTO_TEST_CASE(JsonOutputIsAnArrayOfFindingsAndTheDifferences) {
  const Directory files;
  const auto before = files.Write("before", WithRoutes(kRoute));
  const auto after = files.Write(
      "after", R"({"version":2,"routes":[)" + kRoute +
                   R"(],"services":[{"name":"vault"},{"name":"\"\n"}]})");
  const auto outcome = RunProgram({after, "--json", "--in-force", before});
  BOOST_TEST(outcome.code == 1);
  simdjson::dom::parser parser;
  const auto root = ParseJsonObject(parser, outcome.output);
  BOOST_REQUIRE(root.has_value());
  const auto text = [&](const char* pointer) {
    std::string_view value;
    BOOST_TEST(root->at_pointer(pointer).get(value) == simdjson::SUCCESS,
               pointer);
    return std::string(value);
  };
  BOOST_TEST(text("/findings/0/place") == "services[1]");
  BOOST_TEST(text("/findings/0/severity") == "warning");
  BOOST_TEST(text("/findings/0/text").starts_with("no route names \"\\\""));
  BOOST_TEST(text("/findings/1/place") == "version");
  BOOST_TEST(text("/differences/0/change") == "removed");
  BOOST_TEST(text("/differences/0/place") == "limits.idleTimeoutMs");
  BOOST_TEST(text("/differences/1/change") == "added");
  BOOST_TEST((root->at_pointer("/differences/0/before").get_uint64().value() ==
              60000U));
  BOOST_TEST((root->at_pointer("/differences/0/after").error() ==
              simdjson::NO_SUCH_FIELD));
}

// Guards against an example that teaches a mistake.
BOOST_AUTO_TEST_CASE(ExampleIsCleanAndFollowsTheOneInForce) {
  const std::string folder = COWSLIP_PLATFORM_EXAMPLES;
  const auto outcome = RunProgram({folder + "/configuration.json", "--in-force",
                                   folder + "/configuration-in-force.json"});
  BOOST_TEST(outcome.code == 0);
  BOOST_TEST(
      outcome.output.ends_with("errors: 0, warnings: 0, differences: 4\n"));
}

// Random text must neither crash the comparison nor break the JSON output.
BOOST_AUTO_TEST_CASE(RandomDocumentsHaveValidJsonOutput) {
  RandomDocuments documents(9);
  const Directory files;
  for (int i = 0; i < 2000; ++i) {
    const auto before = files.Write("before", documents.Next());
    const auto after = files.Write("after", documents.Damage(documents.Next()));
    std::istringstream input;
    std::ostringstream output;
    std::ostringstream errors;
    const int code = RunCheckCommand({after, "--in-force", before, "--json"},
                                     input, output, errors);
    BOOST_REQUIRE(code >= kCheckClean);
    BOOST_REQUIRE(code <= kCheckErrors);
    simdjson::dom::parser parser;
    BOOST_REQUIRE_MESSAGE(ParseJsonObject(parser, output.str()).has_value(),
                          output.str());
  }
}

}  // namespace cowslip::platform_adapter::test
