#include "standins/upstream/datagram_service.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <vector>

namespace cowslip::standin {

std::optional<DatagramService> DatagramService::Create(
    const UpstreamOptions& options, LastReason<StandinError>& reason) {
  auto socket = UdpSocket::Create(options.listen, reason);
  if (!socket) return std::nullopt;
  return DatagramService(std::move(*socket), options.name + " ");
}

void DatagramService::Run(int stop_fd) const {
  std::array<pollfd, 2> entries{
      {{socket_.fd(), POLLIN, 0}, {stop_fd, POLLIN, 0}}};
  while (entries[1].revents == 0) {
    if (poll(entries.data(), entries.size(), -1) > 0) EchoAll();
  }
}

void DatagramService::EchoAll() const {
  std::vector<std::byte> buffer(prefix_.size() + kMaxDatagramBytes);
  const auto bytes = std::as_bytes(std::span(prefix_));
  std::copy(bytes.begin(), bytes.end(), buffer.begin());
  while (const auto datagram =
             socket_.Receive(std::span(buffer).subspan(prefix_.size()))) {
    socket_.Send(datagram->source,
                 std::span(buffer).first(prefix_.size() + datagram->size));
  }
}

}  // namespace cowslip::standin
