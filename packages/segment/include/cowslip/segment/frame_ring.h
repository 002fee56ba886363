#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"

namespace cowslip::segment {

/// Ring buffer with the frames of packets that the upstream may return. The
/// upstream returns a packet together with its token, which finds the frame and
/// so the remaining candidates.
class FrameRing {
 public:
  /// Packets return within about a millisecond; the buffer holds those of one
  /// second.
  static constexpr std::size_t kCapacity = 512;
  /// Token of packets whose frame is not stored.
  static constexpr std::uint32_t kNoToken = 0;

  /// Stores a frame.
  /// @return its token, never kNoToken.
  std::uint32_t Store(const FlowKey& flow, const SegmentFrame& frame);
  /// @return the frame, std::nullopt if it was overwritten or belongs to
  /// another flow.
  std::optional<SegmentFrame> Find(std::uint32_t token,
                                   const FlowKey& flow) const;

 private:
  /// One stored frame.
  struct Slot {
    std::uint32_t token = kNoToken;
    FlowKey flow;
    SegmentFrame frame;
  };
  std::vector<Slot> slots_;
  std::uint32_t next_token_ = 1;
};

}  // namespace cowslip::segment
