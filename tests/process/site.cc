#include "tests/process/site.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <stdexcept>

namespace cowslip::testing {
namespace {

/// Higher site numbers are reserved for scripts.
constexpr int kLastSite = 199;
constexpr std::uint16_t kLockPort = 65009;

}  // namespace

Site Site::Claim() {
  for (int number = 1; number <= kLastSite; ++number) {
    standin::UniqueFd lock(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    Site site(number, std::move(lock));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kLockPort);
    inet_pton(AF_INET, site.Address(40, 250).c_str(), &address.sin_addr);
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    if (bind(site.lock_.get(), generic, sizeof(address)) == 0) return site;
  }
  throw std::runtime_error("no free site");
}

}  // namespace cowslip::testing
