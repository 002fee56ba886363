#include "review/standin/packet.hpp"

namespace review {
namespace {

constexpr std::size_t kHeaderSize = 34;
constexpr std::size_t kFlagsOffset = 28;
constexpr std::uint32_t kSumKey = 0x5eed1234;

template <typename T>
void Append(T value, Bytes& out) {
  for (std::size_t i = 0; i < sizeof value; ++i) {
    out.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
  }
}

template <typename T>
T Read(ByteView from, std::size_t offset) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof value; ++i) {
    value = static_cast<T>(value | static_cast<T>(from[offset + i]) << (8 * i));
  }
  return value;
}

/// A keyed sum (FNV-1a) over all fields but `echo`, `pad` and BOUNCED.
std::uint32_t SumOf(const Packet& packet) {
  Bytes covered;
  Append(packet.source.address, covered);
  Append(packet.target.address, covered);
  Append(packet.target.port, covered);
  Append(packet.source.port, covered);
  Append(packet.seq, covered);
  Append(packet.ack, covered);
  covered.push_back(packet.flags & static_cast<std::uint8_t>(~kBounced));
  covered.insert(covered.end(), packet.data.begin(), packet.data.end());
  std::uint32_t sum = 2166136261U ^ kSumKey;
  for (const auto byte : covered) sum = (sum ^ byte) * 16777619U;
  return sum;
}

}  // namespace

Bytes Encode(const Packet& packet) {
  Bytes out;
  Append(packet.echo, out);
  Append(packet.source.address, out);
  Append(packet.target.address, out);
  Append(packet.target.port, out);
  Append(packet.source.port, out);
  Append(packet.seq, out);
  Append(packet.ack, out);
  Append(SumOf(packet), out);
  out.push_back(packet.flags);
  out.insert(out.end(), 3, 0);
  Append(static_cast<std::uint16_t>(packet.data.size()), out);
  out.insert(out.end(), packet.data.begin(), packet.data.end());
  return out;
}

std::optional<Packet> Decode(ByteView datagram) {
  if (datagram.size() < kHeaderSize) return std::nullopt;
  const auto length = Read<std::uint16_t>(datagram, 32);
  if (datagram.size() != kHeaderSize + length) return std::nullopt;
  Packet packet;
  packet.echo = Read<std::uint32_t>(datagram, 0);
  packet.source = {Read<std::uint32_t>(datagram, 4),
                   Read<std::uint16_t>(datagram, 14)};
  packet.target = {Read<std::uint32_t>(datagram, 8),
                   Read<std::uint16_t>(datagram, 12)};
  packet.seq = Read<std::uint32_t>(datagram, 16);
  packet.ack = Read<std::uint32_t>(datagram, 20);
  packet.sum = Read<std::uint32_t>(datagram, 24);
  packet.flags = datagram[kFlagsOffset];
  packet.data.assign(datagram.begin() + kHeaderSize, datagram.end());
  return packet;
}

bool HasValidSum(const Packet& packet) { return packet.sum == SumOf(packet); }

Bytes MarkReturned(ByteView datagram) {
  Bytes out(datagram.begin(), datagram.end());
  out[kFlagsOffset] |= kBounced;
  for (std::size_t i = 1; i <= 3; ++i) out[kFlagsOffset + i] = 0;
  return out;
}

}  // namespace review
