#include "standins/caller/datagram_caller.h"

#include <poll.h>

#include <span>
#include <vector>

namespace cowslip::standin {

using Clock = std::chrono::steady_clock;

std::optional<DatagramCaller> DatagramCaller::Create(
    const Endpoint& server, const std::optional<Endpoint>& local,
    LastReason<StandinError>& reason) {
  auto socket = UdpSocket::Create(local.value_or(Endpoint{}), reason);
  if (!socket) return std::nullopt;
  return DatagramCaller(server, std::move(*socket));
}

bool DatagramCaller::Exchange(const std::string& text, std::uint64_t number,
                              std::chrono::milliseconds timeout,
                              std::ostream& out) const {
  const auto payload = text + " " + std::to_string(number);
  const auto start = Clock::now();
  socket_.Send(server_, std::as_bytes(std::span(payload)));
  const auto answer = AwaitEcho(payload, start + timeout);
  const auto time = std::chrono::duration_cast<std::chrono::microseconds>(
      Clock::now() - start);
  if (answer) {
    const auto sent = std::chrono::duration_cast<std::chrono::milliseconds>(
        start.time_since_epoch());
    out << "answer=\"" << *answer << "\" time_us=" << time.count()
        << " sent_ms=" << sent.count() << std::endl;
  } else {
    out << "timeout=\"" << payload << "\"" << std::endl;
  }
  return answer.has_value();
}

std::optional<std::string> DatagramCaller::AwaitEcho(const std::string& payload,
                                                     TimePoint deadline) const {
  std::vector<std::byte> buffer(kMaxDatagramBytes);
  while (Clock::now() < deadline) {
    pollfd entry{socket_.fd(), POLLIN, 0};
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now());
    if (poll(&entry, 1, static_cast<int>(left.count())) <= 0) continue;
    const auto datagram = socket_.Receive(buffer);
    if (!datagram || datagram->source != server_) continue;
    std::string answer(reinterpret_cast<const char*>(buffer.data()),
                       datagram->size);
    if (answer.ends_with(" " + payload)) return answer;
  }
  return std::nullopt;
}

}  // namespace cowslip::standin
