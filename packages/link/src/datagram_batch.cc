#include "cowslip/link/datagram_batch.h"

#include <sys/socket.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include "cowslip/link/socket_address.h"

namespace cowslip::link {
namespace {

/// Space for the ancillary data of a datagram, its time of arrival.
constexpr std::size_t kControlBytes = 128;
/// A frame has three parts: header, payload, authentication code.
constexpr std::size_t kParts = 3;

std::chrono::nanoseconds ToDuration(const timespec& time) {
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

iovec ToPart(ByteView bytes) {
  return {const_cast<std::uint8_t*>(bytes.data()), bytes.size()};
}

}  // namespace

struct ReceiveBatch::Storage {
  std::array<mmsghdr, kCapacity> messages{};
  std::array<iovec, kCapacity> parts{};
  std::array<sockaddr_in, kCapacity> addresses{};
  std::array<std::array<std::uint8_t, kMaxFrameBytes>, kCapacity> buffers;
  alignas(cmsghdr)
      std::array<std::array<std::uint8_t, kControlBytes>, kCapacity> control;
  std::chrono::nanoseconds received{};
};

ReceiveBatch::ReceiveBatch() : storage_(std::make_unique<Storage>()) {}
ReceiveBatch::~ReceiveBatch() = default;
ReceiveBatch::ReceiveBatch(ReceiveBatch&&) noexcept = default;
ReceiveBatch& ReceiveBatch::operator=(ReceiveBatch&&) noexcept = default;

std::size_t ReceiveBatch::Receive(const DatagramSocket& socket, bool& refused) {
  auto& s = *storage_;
  for (std::size_t i = 0; i < kCapacity; ++i) {
    s.parts[i] = {s.buffers[i].data(), s.buffers[i].size()};
    auto& header = s.messages[i].msg_hdr;
    header = {};
    header.msg_name = &s.addresses[i];
    header.msg_namelen = sizeof s.addresses[i];
    header.msg_iov = &s.parts[i];
    header.msg_iovlen = 1;
    header.msg_control = s.control[i].data();
    header.msg_controllen = s.control[i].size();
  }
  const int count = recvmmsg(socket.fd(), s.messages.data(), kCapacity,
                             MSG_DONTWAIT, nullptr);
  refused = count < 0 && errno == ECONNREFUSED;
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  s.received = ToDuration(now);
  return count < 0 ? 0 : static_cast<std::size_t>(count);
}

ReceivedDatagram ReceiveBatch::At(std::size_t index) const {
  auto& message = storage_->messages[index];
  ReceivedDatagram datagram;
  datagram.from = FromSocketAddress(storage_->addresses[index]);
  datagram.payload = {storage_->buffers[index].data(), message.msg_len};
  datagram.truncated = (message.msg_hdr.msg_flags & MSG_TRUNC) != 0;
  for (auto* part = CMSG_FIRSTHDR(&message.msg_hdr); part != nullptr;
       part = CMSG_NXTHDR(&message.msg_hdr, part)) {
    if (part->cmsg_level != SOL_SOCKET || part->cmsg_type != SCM_TIMESTAMPNS) {
      continue;
    }
    timespec arrival{};
    std::memcpy(&arrival, CMSG_DATA(part), sizeof arrival);
    datagram.queue_delay = storage_->received - ToDuration(arrival);
  }
  return datagram;
}

struct SendBatch::Storage {
  std::array<mmsghdr, kCapacity> messages{};
  std::array<std::array<iovec, kParts>, kCapacity> parts{};
  std::array<sockaddr_in, kCapacity> addresses{};
  std::array<EncodedHeader, kCapacity> headers;
  std::array<FrameMac, kCapacity> macs;
};

SendBatch::SendBatch() : storage_(std::make_unique<Storage>()) {}
SendBatch::~SendBatch() = default;
SendBatch::SendBatch(SendBatch&&) noexcept = default;
SendBatch& SendBatch::operator=(SendBatch&&) noexcept = default;

std::size_t SendBatch::Reserve(const DatagramSocket& socket,
                               const Endpoint& to) {
  if (count_ == kCapacity || (count_ > 0 && fd_ != socket.fd())) Flush();
  fd_ = socket.fd();
  const auto slot = count_++;
  auto& s = *storage_;
  s.addresses[slot] = ToSocketAddress(to);
  auto& header = s.messages[slot].msg_hdr;
  header = {};
  header.msg_name = &s.addresses[slot];
  header.msg_namelen = sizeof s.addresses[slot];
  header.msg_iov = s.parts[slot].data();
  return slot;
}

void SendBatch::Add(const DatagramSocket& socket, const Endpoint& to,
                    ByteView payload) {
  const auto slot = Reserve(socket, to);
  storage_->parts[slot][0] = ToPart(payload);
  storage_->messages[slot].msg_hdr.msg_iovlen = 1;
}

void SendBatch::AddFrame(const DatagramSocket& socket, const Endpoint& to,
                         const FrameHeader& header, ByteView payload,
                         FrameCodec& codec) {
  const auto slot = Reserve(socket, to);
  auto& s = *storage_;
  codec.Encode(header, payload, s.headers[slot], s.macs[slot]);
  s.parts[slot] = {ToPart(s.headers[slot]), ToPart(payload),
                   ToPart(s.macs[slot])};
  s.messages[slot].msg_hdr.msg_iovlen = kParts;
}

void SendBatch::Flush() {
  std::size_t sent = 0;
  while (sent < count_) {
    const int accepted = sendmmsg(fd_, storage_->messages.data() + sent,
                                  count_ - sent, MSG_DONTWAIT);
    if (accepted > 0) {
      sent += accepted;
      continue;
    }
    // The first datagram could not be sent; skip it and send the others.
    ++failed_;
    ++sent;
  }
  count_ = 0;
}

}  // namespace cowslip::link
