#pragma once

#include <cstdint>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"

namespace cowslip::segment {

enum class EffectKind : std::uint8_t {
  kInstance,  ///< A datagram to another instance of the system.
  kUpstream,  ///< A packet to the own upstream.
  kCaller,    ///< A packet of the upstream to its caller.
  kReset,     ///< A reset of the system's own to a caller.
};

/// One thing that a decision wants done.
struct Effect {
  EffectKind kind{};
  InstanceAddress instance = 0;  ///< Of kInstance.
  std::uint32_t token = 0;       ///< Of kUpstream: comes back if it bounces.
  std::uint32_t seq = 0;         ///< Of kReset.
  FlowKey flow{};                ///< Of kCaller and kReset.
  std::size_t offset = 0;        ///< Of the datagram in the outbox.
  std::size_t size = 0;
};

/// Collects effects with their datagrams in one buffer, which keeps its size,
/// so that no packet costs an allocation.
class Outbox {
 public:
  void SendFrame(InstanceAddress to, const SegmentFrame& frame,
                 ByteView packet) {
    Append({.kind = EffectKind::kInstance, .instance = to},
           [&](Bytes& out) { AppendSegmentFrame(frame, packet, out); });
  }
  void SendReceipt(InstanceAddress to, const Receipt& receipt) {
    Append({.kind = EffectKind::kInstance, .instance = to},
           [&](Bytes& out) { AppendReceipt(receipt, out); });
  }
  void SendProbe(InstanceAddress to) {
    Append({.kind = EffectKind::kInstance, .instance = to},
           [](Bytes& out) { AppendProbe(out); });
  }
  void SendToUpstream(std::uint32_t token, ByteView packet) {
    Append({.kind = EffectKind::kUpstream, .token = token},
           [&](Bytes& out) { Copy(packet, out); });
  }
  void SendToCaller(const FlowKey& flow, ByteView packet) {
    Append({.kind = EffectKind::kCaller, .flow = flow},
           [&](Bytes& out) { Copy(packet, out); });
  }
  void Reset(const FlowKey& flow, std::uint32_t seq) {
    effects_.push_back({.kind = EffectKind::kReset, .seq = seq, .flow = flow});
  }

  const std::vector<Effect>& effects() const { return effects_; }
  ByteView DatagramOf(const Effect& effect) const {
    return ByteView(bytes_).subspan(effect.offset, effect.size);
  }
  void Clear() {
    effects_.clear();
    bytes_.clear();
  }

 private:
  static void Copy(ByteView packet, Bytes& out) {
    out.insert(out.end(), packet.begin(), packet.end());
  }
  template <typename Writer>
  void Append(Effect effect, const Writer& write) {
    effect.offset = bytes_.size();
    write(bytes_);
    effect.size = bytes_.size() - effect.offset;
    effects_.push_back(effect);
  }

  std::vector<Effect> effects_;
  Bytes bytes_;
};

}  // namespace cowslip::segment
