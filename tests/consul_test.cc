#define BOOST_TEST_MODULE platform
#include "cowslip/consul.h"

#include <boost/test/unit_test.hpp>

namespace cowslip::consul {
namespace {

BOOST_AUTO_TEST_CASE(Base64FollowsRfc4648Vectors) {
  const std::pair<std::string, std::string> vectors[] = {
      {"", ""},
      {"f", "Zg=="},
      {"fo", "Zm8="},
      {"foo", "Zm9v"},
      {"foob", "Zm9vYg=="},
      {"fooba", "Zm9vYmE="},
      {"foobar", "Zm9vYmFy"},
  };
  for (const auto& [bytes, text] : vectors) {
    BOOST_TEST(EncodeBase64(bytes) == text);
    BOOST_TEST((DecodeBase64(text) == bytes));
  }
}

BOOST_AUTO_TEST_CASE(Base64RoundTripsEveryByteValue) {
  std::string bytes;
  for (int i = 0; i < 256; ++i) bytes += static_cast<char>(i);
  BOOST_TEST((DecodeBase64(EncodeBase64(bytes)) == bytes));
}

BOOST_AUTO_TEST_CASE(Base64RejectsMalformedText) {
  for (const auto* text :
       {"Zg=", "Zg", "Z===", "====", "Zh==", "Zm9-", "Zg==Zg==", "Z g="}) {
    BOOST_TEST(!DecodeBase64(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_CASE(UrlEncodesKeyAndKeepsSlashes) {
  BOOST_TEST(StoreUrl::Key("tickets/a b?&#%").text() ==
             "/v1/kv/tickets/a%20b%3F%26%23%25");
}

BOOST_AUTO_TEST_CASE(UrlBuildsBlockingQuery) {
  auto url = StoreUrl::Key("tickets/").Flag("recurse");
  url.Blocking(7, std::chrono::milliseconds(1500));
  BOOST_TEST(url.text() == "/v1/kv/tickets/?recurse&index=7&wait=1500ms");
}

BOOST_AUTO_TEST_CASE(UrlBuildsSessionTargets) {
  BOOST_TEST(StoreUrl::Session("create", {}).text() == "/v1/session/create");
  BOOST_TEST(StoreUrl::Session("renew", "a/b").text() ==
             "/v1/session/renew/a%2Fb");
}

BOOST_AUTO_TEST_CASE(CreateRejectsInvalidOptions) {
  LastReason<ConsulError> reason;
  BOOST_TEST(!StoreClient::Create({}, reason).has_value());
  BOOST_TEST((reason.code() == ConsulError::kBadOptions));
}

BOOST_AUTO_TEST_CASE(CancelledClientRejectsCalls) {
  LastReason<ConsulError> reason;
  StoreClientOptions options;
  options.urls = {"http://127.0.0.1:1"};
  auto client = StoreClient::Create(options, reason);
  BOOST_REQUIRE(client.has_value());
  client->Cancel();
  BOOST_TEST(!client->Get("key", reason).has_value());
  BOOST_TEST((reason.code() == ConsulError::kCancelled));
}

}  // namespace
}  // namespace cowslip::consul
