#define BOOST_TEST_MODULE start_over
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "cowslip/coap.h"
#include "cowslip/engine/transfer_table.h"
#include "cowslip/link/socket_address.h"
#include "standins/caller/coap_client.h"

namespace cowslip::testing {
namespace {

using coap::Message;
using coap::OptionNumber;

constexpr std::uint32_t kBlocks = 5;
constexpr std::uint32_t kBlockSizeExponent = 2;
constexpr std::size_t kBlockBytes = 64;
constexpr std::chrono::seconds kTimeout{20};

/// @return the whole document of one version.
std::string Document(char version) {
  std::string text;
  for (std::uint32_t i = 0; i < kBlocks; ++i) {
    text += std::string(kBlockBytes - 1, version) + static_cast<char>('0' + i);
  }
  return text;
}

/// Serves a document in blocks. At the third block it makes the caller restart
/// the download, and serves another version of the document from then on.
class BlockServer {
 public:
  explicit BlockServer(bool with_etag) : with_etag_(with_etag) {
    fd_ = socket(AF_INET, SOCK_DGRAM, 0);
    auto address = link::ToSocketAddress({INADDR_LOOPBACK, 0});
    socklen_t size = sizeof address;
    BOOST_REQUIRE(bind(fd_, reinterpret_cast<sockaddr*>(&address), size) == 0);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    endpoint_ = link::FromSocketAddress(address);
    const timeval wait{0, 50'000};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    thread_ = std::thread([this] { Serve(); });
  }
  ~BlockServer() {
    stop_ = true;
    thread_.join();
    close(fd_);
  }
  BlockServer(const BlockServer&) = delete;
  BlockServer& operator=(const BlockServer&) = delete;

  const Endpoint& endpoint() const { return endpoint_; }

 private:
  void Serve() {
    std::array<std::uint8_t, 2048> buffer;
    while (!stop_) {
      sockaddr_in from;
      socklen_t size = sizeof from;
      const auto count = recvfrom(fd_, buffer.data(), buffer.size(), 0,
                                  reinterpret_cast<sockaddr*>(&from), &size);
      if (count <= 0) continue;
      LastReason<coap::CoapError> reason;
      const auto request = coap::Parse(
          ByteView(buffer).first(static_cast<std::size_t>(count)), reason);
      if (!request || !request->IsRequest()) continue;
      const auto bytes = coap::Encode(Answer(*request), reason);
      sendto(fd_, bytes->data(), bytes->size(), 0,
             reinterpret_cast<sockaddr*>(&from), size);
    }
  }

  Message Answer(const Message& request) {
    const auto block =
        request.FindUintOption(OptionNumber::kBlock2).value_or(0);
    const auto number = block >> 4;
    if (number == 2 && version_ == 'a') {
      version_ = 'b';
      return engine::MakeRestartResponse(request);
    }
    auto answer = coap::MakeResponse(request, coap::Code::kContent);
    if (with_etag_) answer.SetOption(OptionNumber::kEtag, {'e'});
    const std::uint32_t more = number + 1 < kBlocks ? 8 : 0;
    answer.SetUintOption(OptionNumber::kBlock2,
                         number << 4 | more | kBlockSizeExponent);
    const auto text =
        Document(version_).substr(number * kBlockBytes, kBlockBytes);
    answer.payload.assign(text.begin(), text.end());
    return answer;
  }

  bool with_etag_;
  char version_ = 'a';
  int fd_ = -1;
  Endpoint endpoint_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

void DownloadFrom(const BlockServer& server) {
  LastReason<standin::StandinError> reason;
  const auto client =
      standin::CoapClient::Create(server.endpoint(), std::nullopt, reason);
  BOOST_REQUIRE(client != nullptr);
  standin::CoapRequest request;
  request.path = "dossier";
  const auto response = client->Exchange(request, kTimeout);
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->payload == Document('b'));
}

BOOST_AUTO_TEST_CASE(LibcoapClientStartsOverAndGetsOneVersion) {
  const BlockServer server(true);
  DownloadFrom(server);
}

BOOST_AUTO_TEST_CASE(LibcoapClientStartsOverWithoutEntityTags) {
  const BlockServer server(false);
  DownloadFrom(server);
}

}  // namespace
}  // namespace cowslip::testing
