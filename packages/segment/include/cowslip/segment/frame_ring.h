#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"

namespace cowslip::segment {

/// Remembers the frames of packets that the upstream may return. The upstream
/// keeps the token with the packet, so a returned one finds its list again.
class FrameRing {
 public:
  /// Packets return within a millisecond or so; a second's worth is kept.
  static constexpr std::size_t kCapacity = 512;
  /// Marks packets whose frame was not kept.
  static constexpr std::uint32_t kNoToken = 0;

  /// @return the token of the frame, never kNoToken.
  std::uint32_t Store(const FlowKey& flow, const SegmentFrame& frame);
  /// @return the frame, unless it was overwritten or is of another flow.
  std::optional<SegmentFrame> Find(std::uint32_t token,
                                   const FlowKey& flow) const;

 private:
  struct Slot {
    std::uint32_t token = kNoToken;
    FlowKey flow;
    SegmentFrame frame;
  };
  std::vector<Slot> slots_;
  std::uint32_t next_ = 1;
};

}  // namespace cowslip::segment
