// Tests the parsers of the platform adapter: packets, settings, heartbeats and
// routes.
#define BOOST_TEST_MODULE adapter
#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

#include "platform/control_traffic.h"
#include "platform/document_fetch.h"
#include "platform/heartbeat.h"
#include "platform/metrics_text.h"
#include "platform/outlier_metrics.h"
#include "platform/packet_header.h"
#include "platform/route_document.h"
#include "platform/settings.h"
#include "platform/suspended_time.h"

namespace cowslip::platform_adapter {
namespace {

/// A SYN from 100.64.0.9:40002 to 198.18.0.3:80.
Bytes MakeSyn() {
  return {0, 0, 0, 0, 9, 0, 0x40, 100,  3, 0, 18, 198, 80, 0, 0x42, 0x9C, 5,
          0, 0, 0, 2, 0, 0, 0,    0x11, 1, 1, 1,  16,  0,  0, 0,    0,    0};
}

const char* const kSettings = R"({
  "nodeName": "side-1", "ip": "127.9.0.2", "zone": "ate",
  "listen": {"datagramAddr": "127.9.0.2:8172", "ready": "127.9.0.2:8167",
             "control": "127.9.0.2:8166", "outbound": "127.9.0.2:8162"},
  "internalPorts": [7720, 7735], "seeds": ["127.9.0.1:8166"],
  "bootstrap": true, "heartbeatMs": 700, "unknownField": {"a": 1},
  "bounds": {"graceS": 6, "configApplyMs": 3000},
  "app": "127.9.0.2:8165", "service": "vault",
  "platform": {"address": "127.9.0.7:8169"}})";

/// When the heartbeat arrives.
constexpr std::chrono::milliseconds kTimeOfDay{9000};
const char* const kHeartbeat =
    R"({"service":"vault","address":"10.1.0.9:8165","zone":"ate","version":"v1",
        "capacity":2,"state":"ready","warmupLeftMs":250,"seq":4,"born":1700})";

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  const auto at = text.find(from);
  BOOST_REQUIRE(at != text.npos);
  return text.replace(at, from.size(), to);
}

}  // namespace

BOOST_AUTO_TEST_CASE(DecodesASyn) {
  const auto header = DecodePacketHeader(MakeSyn(), PacketSender::kCaller);
  BOOST_REQUIRE(header.has_value());
  BOOST_TEST(header->segment.is_syn());
  BOOST_TEST(ToString(header->segment.flow.caller) == "100.64.0.9:40002");
  BOOST_TEST(ToString(header->segment.flow.service) == "198.18.0.3:80");
  BOOST_TEST(header->segment.seq == 5U);
  BOOST_TEST(header->segment.ack == 2U);
}

BOOST_AUTO_TEST_CASE(BothDirectionsHaveTheSameFlow) {
  const auto syn = DecodePacketHeader(MakeSyn(), PacketSender::kCaller);
  const auto reset = MakeReset(syn->segment.flow, 77);
  const auto answer = DecodePacketHeader(reset, PacketSender::kUpstream);
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->segment.rst);
  BOOST_TEST(answer->segment.seq == 77U);
  BOOST_TEST((answer->segment.flow == syn->segment.flow));
}

BOOST_AUTO_TEST_CASE(ReturnedPacketIsRestoredToTheOriginal) {
  const auto original = MakeSyn();
  auto packet = original;
  SetToken(packet, 123456);
  packet[28] |= 8;
  const auto header = DecodePacketHeader(packet, PacketSender::kUpstream);
  BOOST_REQUIRE(header.has_value());
  BOOST_TEST(header->returned);
  BOOST_TEST(header->token == 123456U);
  BOOST_TEST(ToString(header->segment.flow.caller) == "100.64.0.9:40002");
  ClearReturned(packet);
  BOOST_TEST(packet == original, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(PacketsOfTheWrongSizeAreRejected) {
  auto packet = MakeSyn();
  packet.pop_back();
  BOOST_TEST(!DecodePacketHeader(packet, PacketSender::kCaller));
  packet = MakeSyn();
  packet.push_back(0);
  BOOST_TEST(!DecodePacketHeader(packet, PacketSender::kCaller));
}

BOOST_AUTO_TEST_CASE(ReadsSettings) {
  LastReason<AdapterError> reason;
  const auto settings = ParseSettings(kSettings, reason);
  BOOST_REQUIRE_MESSAGE(settings.has_value(), reason.Message());
  BOOST_TEST(settings->instance_name == "side-1");
  BOOST_TEST(settings->internal_ports.first == 7720);
  BOOST_TEST(ToString(*settings->upstream) == "127.9.0.2:8165");
  BOOST_TEST(settings->config_deadline.count() == 3000);
  BOOST_TEST(settings->first_start);
}

BOOST_AUTO_TEST_CASE(SettingsErrorsNameTheField) {
  const std::pair<const char*, const char*> cases[] = {
      {"\"ip\"", "ip"},
      {"\"nodeName\"", "nodeName"},
      {"\"datagramAddr\"", "datagramAddr"},
      {"\"graceS\"", "graceS"},
      {"\"seeds\"", "seeds"}};
  for (const auto& [from, field] : cases) {
    LastReason<AdapterError> reason;
    BOOST_TEST(!ParseSettings(Replace(kSettings, from, "\"x\""), reason));
    BOOST_TEST(reason.Message().find(field) != std::string::npos,
               reason.Message());
  }
  LastReason<AdapterError> reason;
  BOOST_TEST(!ParseSettings("{", reason));
  BOOST_TEST((reason.code() == AdapterError::kBadJson));
}

BOOST_AUTO_TEST_CASE(ReadsHeartbeats) {
  LastReason<AdapterError> reason;
  const auto heartbeat = ParseHeartbeat("i-1", kHeartbeat, kTimeOfDay, reason);
  BOOST_REQUIRE_MESSAGE(heartbeat.has_value(), reason.Message());
  BOOST_TEST(heartbeat->report.id == "i-1");
  BOOST_TEST(heartbeat->report.slots == 2U);
  BOOST_TEST(heartbeat->report.started_at.count() == 1700);
  BOOST_TEST(!heartbeat->report.draining);
}

BOOST_AUTO_TEST_CASE(ReadsTheProcessThatDeregisters) {
  const auto started_at = ParseDeregistration(R"({"born":1700})");
  BOOST_REQUIRE(started_at.has_value());
  BOOST_TEST(started_at->count() == 1700);
  for (const auto* body :
       {"", "{}", "[", R"({"born":"1"})", R"({"born":-1})"}) {
    BOOST_TEST(!ParseDeregistration(body).has_value());
  }
}

BOOST_AUTO_TEST_CASE(HeartbeatWithALongIdIsRejected) {
  LastReason<AdapterError> reason;
  BOOST_TEST(
      !ParseHeartbeat(std::string(201, 'i'), kHeartbeat, kTimeOfDay, reason));
}

BOOST_AUTO_TEST_CASE(InvalidHeartbeatsAreRejected) {
  const std::pair<const char*, const char*> cases[] = {
      {"\"capacity\":2", "\"capacity\":\"2\""},
      {"\"ready\"", "\"resting\""},
      {"\"seq\":4,", ""},
      {"\"born\":1700", "\"born\":1.5"},
      {"\"capacity\":2", "\"capacity\":0"},
      // Another program has written these. They were cut to other numbers: 2^32
      // slots to none, so that the upstream got no connections.
      {"\"capacity\":2", "\"capacity\":4294967296"},
      {"\"warmupLeftMs\":250", "\"warmupLeftMs\":1e300"},
      {"\"warmupLeftMs\":250", "\"warmupLeftMs\":-1"},
      {"\"seq\":4", "\"seq\":18446744073709551615"},
      // A start in the future makes all reports of the upstream outdated.
      {"\"born\":1700", "\"born\":9223372036854775808"},
      {"\"born\":1700", "\"born\":4102444800000"},
      {"10.1.0.9:8165", "nowhere"}};
  for (const auto& [from, to] : cases) {
    LastReason<AdapterError> reason;
    BOOST_TEST(!ParseHeartbeat("i-1", Replace(kHeartbeat, from, to), kTimeOfDay,
                               reason));
    BOOST_TEST(!reason.ok());
  }
}

BOOST_AUTO_TEST_CASE(ReadsRoutes) {
  LastReason<AdapterError> reason;
  const auto table = ParseRouteDocument(
      R"({"version":7,"routes":[
           {"host":"198.18.0.1","prefix":"/8443/","service":"vault"},
           {"host":"198.18.0.2","prefix":"/80/","split":[
             {"service":"a","weight":90},{"service":"b","weight":10}]}],
          "services":[{"name":"vault"}]})",
      reason);
  BOOST_REQUIRE_MESSAGE(table.has_value(), reason.Message());
  BOOST_TEST(table->version == 7U);
  const auto* route = table->Find(*ParseEndpoint("198.18.0.1:8443"));
  BOOST_REQUIRE(route != nullptr);
  BOOST_TEST((route->ChooseService(1) == segment::TagOf("vault")));
  BOOST_TEST(table->Find(*ParseEndpoint("198.18.0.2:80"))->targets.size() ==
             2U);
  BOOST_TEST((table->Find(*ParseEndpoint("198.18.0.2:81")) == nullptr));
}

// The conversion of a number that doesn't fit differs between processors.
BOOST_AUTO_TEST_CASE(LargeNumbersOfARouteAreLimited) {
  LastReason<AdapterError> reason;
  const auto table = ParseRouteDocument(
      R"({"version":3,"routes":[{"host":"198.18.0.1","prefix":"/80/",
          "split":[{"service":"a","weight":1e300},{"service":"b","weight":1}],
          "sloMs":18446744073709551615}]})",
      reason);
  BOOST_REQUIRE_MESSAGE(table.has_value(), reason.Message());
  const auto* route = table->Find({0xC6120001, 80});
  BOOST_REQUIRE(route != nullptr);
  BOOST_TEST(route->targets[0].weight == 1'000'000U);
  BOOST_TEST((*route->latency_target == std::chrono::hours(1)));
}

// Guards against routes whose urgency and time limit are ignored.
BOOST_AUTO_TEST_CASE(RouteHasPriorityAndTimeLimit) {
  LastReason<AdapterError> reason;
  const auto table = ParseRouteDocument(
      R"({"version":3,"routes":[
          {"host":"198.18.0.1","prefix":"/80/","service":"a","sloMs":300,
           "timeoutMs":1500,"priority":2},
          {"host":"198.18.0.1","prefix":"/81/","service":"a","timeoutMs":0,
           "priority":70000},
          {"host":"198.18.0.1","prefix":"/82/","service":"a"}]})",
      reason);
  BOOST_REQUIRE_MESSAGE(table.has_value(), reason.Message());
  const auto* route = table->Find({0xC6120001, 80});
  BOOST_TEST((route->time_limit == std::chrono::milliseconds(1500)));
  BOOST_TEST(route->priority == 2);
  const auto* limited = table->Find({0xC6120001, 81});
  BOOST_TEST((limited->time_limit == std::nullopt));
  BOOST_TEST(limited->priority == 254);
  BOOST_TEST(table->Find({0xC6120001, 82})->priority ==
             segment::RequestClass::kUnknownPriority);
}

// Guards against a limit that is read from the wrong place, and against invalid
// ones that keep a document from coming into force.
BOOST_AUTO_TEST_CASE(ReadsWarmUpLimits) {
  struct Case {
    const char* fields;
    std::optional<double> of_a;
    std::optional<double> of_others;
  };
  const Case cases[] = {
      {R"("services":[],"limits":{})", {}, {}},
      {R"("services":[{"name":"a","warmupPerS":0}])", {}, {}},
      {R"("services":[{"name":"a","warmupPerS":2.5}])", 2.5, {}},
      {R"("limits":{"warmupPerS":20})", 20, 20},
      {R"("services":[{"name":"a","warmupPerS":3}],"limits":{"warmupPerS":20})",
       3, 20},
      {R"("services":[{"name":"a","warmupPerS":0}],"limits":{"warmupPerS":20})",
       0, 20},
      {R"("warmupPerS":7,"limits":{"warmupPerS":0})", {}, {}},
      {R"("warmupPerS":7,"services":[{"name":"b","warmupPerS":1}])", 7, 7},
      {R"("services":[7,{"name":"a","warmupPerS":"x"}],"limits":3)", {}, {}},
      {R"("services":[{"name":"a","warmupPerS":-1}])", {}, {}}};
  for (const auto& each : cases) {
    LastReason<AdapterError> reason;
    const auto table = ParseRouteDocument(
        std::string(R"({"version":4,"routes":[],)") + each.fields + "}",
        reason);
    BOOST_REQUIRE_MESSAGE(table.has_value(), each.fields);
    const auto check = [&](const char* service,
                           std::optional<double> expected) {
      const auto limit = table->WarmUpLimit(segment::TagOf(service));
      BOOST_TEST(limit.has_value() == expected.has_value(), each.fields);
      if (limit && expected) BOOST_TEST(limit->per_second() == *expected);
    };
    check("a", each.of_a);
    check("c", each.of_others);
  }
}

// Guards against a process that is interrupted between two clocks and takes
// that for a suspension, in which requests would count as older than they are.
BOOST_AUTO_TEST_CASE(InterruptionIsNoSuspension) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  const Duration lead = seconds(5);
  const Duration at = seconds(100);
  const auto late = milliseconds(30);
  BOOST_TEST((SuspendedTime::Lead(lead, at, at + lead, at + late) == lead));
  BOOST_TEST(
      (SuspendedTime::Lead(lead, at, at + late + lead, at + late) == lead));
  BOOST_TEST((SuspendedTime::Lead(lead, at, at + lead + seconds(2),
                                  at + late) == lead + seconds(2) - late));
}

BOOST_AUTO_TEST_CASE(DocumentWithAnInvalidRouteIsRejected) {
  for (const char* prefix : {"8443", "/x/", "/70000/", "//"}) {
    LastReason<AdapterError> reason;
    BOOST_TEST(!ParseRouteDocument(
        R"({"version":1,"routes":[{"host":"198.18.0.1","prefix":")" +
            std::string(prefix) + R"(","service":"vault"}]})",
        reason));
    BOOST_TEST((reason.code() == AdapterError::kBadField));
  }
}

BOOST_AUTO_TEST_CASE(DeeplyNestedInputIsRejected) {
  const std::string brackets(100'000, '[');
  const std::string arrays = std::string(3000, '[') + std::string(3000, ']');
  for (const auto& nested : {brackets, arrays, "{\"extra\":" + arrays + "}"}) {
    LastReason<AdapterError> reason;
    BOOST_TEST(!ParseHeartbeat("i-1", nested, kTimeOfDay, reason));
    BOOST_TEST(!ParseRouteDocument(nested, reason).has_value());
    BOOST_TEST(!ParseDeregistration(nested).has_value());
  }
}

BOOST_AUTO_TEST_CASE(PredecessorHeaderRoundTrip) {
  const peers::ConfigVersion version{7, 0, UINT64_MAX};
  const auto read = ParsePredecessor(FormatPredecessor(version));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->SameDocument(version));
  for (const auto* invalid : {"", ":", "7", "7:", "7:x", "7:1:2", "-7:1",
                              "7:99999999999999999999999"}) {
    BOOST_TEST(!ParsePredecessor(invalid).has_value());
  }
}

// Parsers must not crash or read out of bounds on randomly changed bytes.
BOOST_AUTO_TEST_CASE(RandomBytesCauseNoCrash) {
  std::mt19937_64 random(7);
  for (int i = 0; i < 20000; ++i) {
    std::string heartbeat = kHeartbeat;
    std::string settings = kSettings;
    auto packet = MakeSyn();
    for (int flips = 0; flips < 3; ++flips) {
      heartbeat[random() % heartbeat.size()] = static_cast<char>(random());
      settings[random() % settings.size()] = static_cast<char>(random());
      packet[random() % packet.size()] = static_cast<std::uint8_t>(random());
    }
    LastReason<AdapterError> reason;
    ParseHeartbeat("i", heartbeat, kTimeOfDay, reason);
    ParseSettings(settings, reason);
    DecodePacketHeader(packet, PacketSender::kUpstream);
  }
}

// Guards against control traffic that is counted under another cause or as
// frames, so that it would not be visible what a link is used for.
BOOST_AUTO_TEST_CASE(DatagramsAreCountedByCause) {
  constexpr std::size_t kHeaders = 28;
  ControlTraffic traffic;
  const auto check = [&](Direction direction, ControlCause cause,
                         std::size_t bytes) {
    BOOST_TEST(traffic.Bytes(direction, cause) == bytes);
  };
  Bytes probe;
  segment::AppendProbe(probe);
  traffic.OnDatagram(Direction::kIn, probe, segment::Locality::kOwn);
  check(Direction::kIn, ControlCause::kProbe, probe.size() + kHeaders);
  Bytes ack;
  segment::AppendAck({}, ack);
  traffic.OnDatagram(Direction::kOut, ack, segment::Locality::kOwn);
  check(Direction::kOut, ControlCause::kAcknowledgement, ack.size() + kHeaders);
  Bytes frame;
  segment::AppendSegmentFrame({}, Bytes(100), frame);
  traffic.OnDatagram(Direction::kOut, frame, segment::Locality::kOther);
  BOOST_TEST(traffic.FrameBytes(Direction::kOut, segment::Locality::kOther) ==
             frame.size() + kHeaders);
  // Gossip: by its content, and by what the sender says.
  peers::Message message;
  message.sender = 1;
  message.entries.resize(1);
  traffic.OnGossip(Direction::kIn, message, 100);
  check(Direction::kIn, ControlCause::kTable, 100 + kHeaders);
  message.cause = peers::MessageCause::kForwardedChange;
  const auto read = peers::Decode(peers::Encode(message));
  BOOST_REQUIRE(read.has_value());
  traffic.OnGossip(Direction::kIn, *read, 100);
  check(Direction::kIn, ControlCause::kForwardedChange, 100 + kHeaders);
  traffic.SetStoreBytes(7, 8);
  check(Direction::kIn, ControlCause::kStore, 7);
  check(Direction::kOut, ControlCause::kStore, 8);
}

// Guards against families that appear twice, which scrapers refuse, and against
// priorities without a limit on the number of labels.
BOOST_AUTO_TEST_CASE(MetricsTellPrioritiesApart) {
  class NullObserver final : public segment::Observer {
    void OnDecision(const segment::FlowDecision&) override {}
  };
  NullObserver observer;
  const segment::Sidecar sidecar(1, segment::TagOf("vault"), observer, {});
  const auto text = FormatSidecarMetrics(sidecar, {}, 0, 0, TimePoint{});
  const auto count = [](const std::string& from, const std::string& part) {
    int found = 0;
    for (auto at = from.find(part); at != std::string::npos;
         at = from.find(part, at + 1)) {
      ++found;
    }
    return found;
  };
  BOOST_TEST(count(text, "# TYPE cowslip_requests_waited_seconds") == 1);
  BOOST_TEST(count(text, "cowslip_requests_waited_seconds_count{") == 6);
  BOOST_TEST(count(text, "\ncowslip_requests_waiting 0") == 1);
  BOOST_TEST(count(text, "\ncowslip_requests_dropped_total 0") == 1);
  BOOST_TEST(count(text, "\ncowslip_idle_slots_while_waiting_total 0") == 1);

  ControlTraffic traffic;
  const auto bytes = FormatTrafficMetrics(traffic);
  BOOST_TEST(count(bytes, "# TYPE cowslip_control_bytes_total") == 1);
  BOOST_TEST(count(bytes, "\ncowslip_control_bytes_total{") == 22);
  BOOST_TEST(count(bytes, "# TYPE cowslip_frame_bytes_total") == 1);
  BOOST_TEST(count(bytes, "\ncowslip_frame_bytes_total{") == 6);

  segment::BalancerStats stats;
  stats.refused[1][segment::RefusalReason::kNoAnswerInTime] = 3;
  stats.refused[200][segment::RefusalReason::kNoMember] = 4;
  const auto refusals = FormatBalancerMetrics(stats, {}, 0, {}, 0);
  BOOST_TEST(count(refusals, "# TYPE cowslip_refused_total") == 1);
  BOOST_TEST(
      count(refusals, "{priority=\"1\",reason=\"no_answer_in_time\"} 3") == 1);
  BOOST_TEST(count(refusals, "{priority=\"other\",reason=\"no_member\"} 4") ==
             1);
}

// Guards against metrics of members that grow with the fleet, and against a
// family that appears twice.
BOOST_AUTO_TEST_CASE(MetricsOfMembersAreLimited) {
  outlier::OutlierDetector outliers;
  std::vector<outlier::MemberId> members;
  const TimePoint now{std::chrono::seconds(100)};
  for (std::uint32_t i = 0; i < 200; ++i) {
    members.push_back(outlier::MemberId{0x0A000000 + i});
    outlier::ResponseReport report;
    report.failure_share = i == 150 ? 0.5 : 0.0;
    report.response_time = std::chrono::milliseconds(40);
    outliers.OnReport(members.back(), {1, 443}, report, now);
  }
  outliers.Evaluate(members, now);
  outliers.Evaluate(members, now + std::chrono::milliseconds(200));
  const auto text = FormatOutlierMetrics(outliers, {});
  const auto count = [&](const std::string& part) {
    int found = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1)) {
      ++found;
    }
    return found;
  };
  BOOST_TEST(count("\ncowslip_outliers 1") == 1);
  BOOST_TEST(count("# TYPE cowslip_upstream_failure_share") == 1);
  BOOST_TEST(count("cowslip_upstream_failure_share{") == 64);
  BOOST_TEST(count("cowslip_upstream_relative_speed{") == 64);
  BOOST_TEST(count("failure_share{member=\"10.0.0.150\"} 0.5") == 1);
}

}  // namespace cowslip::platform_adapter
