#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::scheduling {

/// A caller's packet with data and the sequence numbers that the data covers.
struct DataPacket {
  std::uint32_t seq = 0;
  std::uint32_t end_seq = 0;  ///< After the last byte.
  ByteView bytes;             ///< The packet as the caller sent it.
};

/// The packets of one request that waits, in the order of their data.
class HeldPackets {
 public:
  /// Memory that a packet takes beside its bytes.
  static constexpr std::size_t kOverhead = 64;

  /// @return memory that a packet would take.
  static std::size_t SizeOf(const DataPacket& packet) {
    return kOverhead + packet.bytes.size();
  }

  /// Adds a packet, in the place of its data. @see Covers()
  void Add(const DataPacket& packet);
  /// @return whether the data of a packet is held already.
  bool Covers(const DataPacket& packet) const;
  /// @return the packets in the order of their data.
  std::vector<Bytes> Take();
  /// @return memory of all packets.
  std::size_t bytes() const { return bytes_; }
  bool empty() const { return packets_.empty(); }
  /// @return the sequence number after the last data; 0 without a packet.
  std::uint32_t end_seq() const;

 private:
  /// One packet.
  struct Held {
    std::uint32_t seq;
    std::uint32_t end_seq;
    Bytes bytes;
  };

  std::vector<Held> packets_;
  std::size_t bytes_ = 0;
};

}  // namespace cowslip::scheduling
