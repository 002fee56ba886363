#include "cowslip/segment/frame_ring.h"

namespace cowslip::segment {

std::uint32_t FrameRing::Store(const FlowKey& flow, const SegmentFrame& frame) {
  const auto token = next_token_++;
  if (next_token_ == kNoToken) next_token_ = 1;
  const std::size_t index = token % kCapacity;
  if (slots_.size() <= index) slots_.resize(index + 1);
  slots_[index] = {token, flow, frame};
  return token;
}

std::optional<SegmentFrame> FrameRing::Find(std::uint32_t token,
                                            const FlowKey& flow) const {
  const std::size_t index = token % kCapacity;
  if (token == kNoToken || index >= slots_.size()) return std::nullopt;
  const auto& slot = slots_[index];
  if (slot.token != token || slot.flow != flow) return std::nullopt;
  return slot.frame;
}

}  // namespace cowslip::segment
