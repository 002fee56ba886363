#include "cowslip/scheduling/held_packets.h"

#include <algorithm>
#include <utility>

namespace cowslip::scheduling {
namespace {

/// Sequence numbers wrap around.
bool IsBefore(std::uint32_t a, std::uint32_t b) {
  return static_cast<std::int32_t>(a - b) < 0;
}

}  // namespace

bool HeldPackets::Covers(const DataPacket& packet) const {
  // Callers repeat packets as they were, or with data that follows.
  return std::any_of(packets_.begin(), packets_.end(), [&](const auto& held) {
    return !IsBefore(packet.seq, held.seq) &&
           !IsBefore(held.end_seq, packet.end_seq);
  });
}

void HeldPackets::Add(const DataPacket& packet) {
  const auto place =
      std::upper_bound(packets_.begin(), packets_.end(), packet.seq,
                       [](std::uint32_t seq, const Held& held) {
                         return IsBefore(seq, held.seq);
                       });
  packets_.insert(place, {packet.seq, packet.end_seq,
                          Bytes(packet.bytes.begin(), packet.bytes.end())});
  bytes_ += SizeOf(packet);
}

std::vector<Bytes> HeldPackets::Take() {
  std::vector<Bytes> taken;
  taken.reserve(packets_.size());
  for (auto& held : packets_) taken.push_back(std::move(held.bytes));
  packets_.clear();
  bytes_ = 0;
  return taken;
}

std::uint32_t HeldPackets::end_seq() const {
  if (packets_.empty()) return 0;
  auto last = packets_.front().end_seq;
  for (const auto& held : packets_) {
    if (IsBefore(last, held.end_seq)) last = held.end_seq;
  }
  return last;
}

}  // namespace cowslip::scheduling
