// Tests announcements of upstreams in the store, also odd ones that another
// program has written.
#define BOOST_TEST_MODULE announcement
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "cowslip/membership.h"

namespace cowslip::membership {
namespace {

nlohmann::json MakeDocument() {
  Announcement announcement;
  auto& upstream = announcement.upstream;
  upstream.id = UpstreamId{7};
  upstream.service = ServiceId{2};
  upstream.incarnation = Incarnation{1'700'000'000'000};
  upstream.sidecar = *ParseEndpoint("127.0.0.1:9000");
  upstream.slots = 4;
  upstream.weight = 1;
  announcement.started = WallTime(std::chrono::milliseconds(1'700'000'000'000));
  return nlohmann::json::parse(EncodeAnnouncement(announcement));
}

bool IsAccepted(const std::string& text) {
  LastReason<MembershipError> reason;
  const auto decoded = DecodeAnnouncement(text, reason);
  BOOST_TEST(decoded.has_value() == reason.ok());
  return decoded.has_value();
}

}  // namespace

BOOST_AUTO_TEST_CASE(AnnouncementRoundTrip) {
  BOOST_TEST(IsAccepted(MakeDocument().dump()));
}

// A number that doesn't fit was cut to another one: 2^32 slots to none, a start
// far away to any time.
BOOST_AUTO_TEST_CASE(NumbersOutOfRangeAreRefused) {
  const std::pair<const char*, nlohmann::json> cases[] = {
      {"id", 4'294'967'296},
      {"id", -1},
      {"service", 1e300},
      {"slots", 4'294'967'296},
      {"slots", -1},
      {"incarnation", -1},
      {"weight", -1},
      {"weight", 1e300},
      {"started_ms", INT64_MAX},
      {"started_ms", INT64_MIN},
      {"sidecar", "127.0.0.1:70000"},
      {"sidecar", "127.0.0.1:0"}};
  for (const auto& [field, value] : cases) {
    auto document = MakeDocument();
    document[field] = value;
    BOOST_TEST(!IsAccepted(document.dump()), field << " = " << value.dump());
  }
}

BOOST_AUTO_TEST_CASE(DeeplyNestedEntriesEndNoProcess) {
  constexpr std::size_t kDepth = 1'000'000;
  BOOST_TEST(!IsAccepted(std::string(kDepth, '[')));
  BOOST_TEST(!IsAccepted(std::string(kDepth, '[') + std::string(kDepth, ']')));
  auto document = MakeDocument().dump();
  document.pop_back();
  document +=
      ",\"extra\":" + std::string(kDepth, '[') + std::string(kDepth, ']') + "}";
  BOOST_TEST(IsAccepted(document));
}

}  // namespace cowslip::membership
