#define BOOST_TEST_MODULE settings
#include "cowslip/settings.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace cowslip::settings {
namespace {

const std::string kValidSettings = R"(instance: b1
data_center: callao
store: {urls: ["http://127.0.0.1:8500"], timeout: 1s}
frame_key: 00112233445566778899aabbccddeeff
http: 127.0.0.1:8080
control: 127.0.0.1:8081
balancer: {id: 1, frames: "127.0.0.1:7000"}
)";

/// An invalid change to the valid settings, and the text that the error message
/// must contain.
struct InvalidChange {
  const char* name;
  const char* old_text;
  const char* new_text;
  const char* expected;
};

std::ostream& operator<<(std::ostream& out, const InvalidChange& change) {
  return out << change.name;
}

const InvalidChange kInvalidChanges[] = {
    {"unknown key", "instance: b1", "instance: b1\nextra: 1",
     "s.yaml:2: extra"},
    {"missing key", "data_center: callao\n", "", "s.yaml:1: data_center"},
    {"wrong type", "id: 1", "id: one", "s.yaml:7: balancer.id"},
    {"out of range", "id: 1", "id: 0", "s.yaml:7: balancer.id"},
    {"bad address", "http: 127.0.0.1:8080", "http: localhost",
     "s.yaml:5: http"},
    {"bad time", "timeout: 1s", "timeout: soon", "s.yaml:3: store.timeout"},
    {"bad key", "00112233445566778899aabbccddeeff", "0011",
     "s.yaml:4: frame_key"},
    {"duplicate key", "instance: b1", "instance: b1\ninstance: b2",
     "s.yaml:1: instance"},
    {"no role", "balancer: {id: 1, frames: \"127.0.0.1:7000\"}\n", "",
     "s.yaml:1: balancer"},
    {"no map", "instance: b1", "- b1", "s.yaml:"},
};

std::string Replace(std::string text, const InvalidChange& change) {
  const std::string old_text(change.old_text);
  return text.replace(text.find(old_text), old_text.size(), change.new_text);
}

BOOST_AUTO_TEST_CASE(ValidSettingsAreParsed) {
  LastReason<SettingsError> reason;
  const auto settings = ParseDaemonSettings(kValidSettings, "s.yaml", reason);
  BOOST_REQUIRE_MESSAGE(settings, reason.Message());
  BOOST_TEST(settings->instance == "b1");
  BOOST_TEST(settings->store.timeout.count() == 1000);
  BOOST_TEST(Raw(settings->balancer->id) == 1U);
}

BOOST_DATA_TEST_CASE(ErrorContainsFileLineAndField,
                     boost::unit_test::data::make(kInvalidChanges), change) {
  LastReason<SettingsError> reason;
  const auto text = Replace(kValidSettings, change);
  BOOST_TEST(!ParseDaemonSettings(text, "s.yaml", reason));
  BOOST_TEST(reason.Message().find(change.expected) != std::string::npos,
             reason.Message());
}

}  // namespace
}  // namespace cowslip::settings
