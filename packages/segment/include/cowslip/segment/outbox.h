#pragma once

#include <cstdint>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"

namespace cowslip::segment {

enum class EffectKind : std::uint8_t {
  kSendToInstance,  ///< A datagram to another instance of the system.
  kSendToUpstream,  ///< A packet to the own upstream.
  kSendToCaller,    ///< A packet of the upstream to its caller.
  kResetCaller,     ///< A reset of the system's own to a caller.
};

/// One thing that a decision wants done.
struct Effect {
  EffectKind kind{};
  InstanceAddress instance = 0;  ///< Of kSendToInstance.
  std::uint32_t token = 0;  ///< Of kSendToUpstream: comes back if it bounces.
  std::uint32_t seq = 0;    ///< Of kResetCaller.
  FlowKey flow{};           ///< Of kSendToCaller and kResetCaller.
  std::size_t offset = 0;   ///< Of the datagram in the outbox.
  std::size_t size = 0;
};

/// Collects effects with their datagrams in one buffer, which keeps its size,
/// so that no packet costs an allocation.
class Outbox {
 public:
  void SendFrame(InstanceAddress to, const SegmentFrame& frame,
                 ByteView packet) {
    Append({.kind = EffectKind::kSendToInstance, .instance = to},
           [&](Bytes& out) { AppendSegmentFrame(frame, packet, out); });
  }
  void SendAck(InstanceAddress to, const Ack& receipt) {
    Append({.kind = EffectKind::kSendToInstance, .instance = to},
           [&](Bytes& out) { AppendAck(receipt, out); });
  }
  void SendProbe(InstanceAddress to) {
    Append({.kind = EffectKind::kSendToInstance, .instance = to},
           [](Bytes& out) { AppendProbe(out); });
  }
  void SendToUpstream(std::uint32_t token, ByteView packet) {
    Append({.kind = EffectKind::kSendToUpstream, .token = token},
           [&](Bytes& out) { Copy(packet, out); });
  }
  void SendToCaller(const FlowKey& flow, ByteView packet) {
    Append({.kind = EffectKind::kSendToCaller, .flow = flow},
           [&](Bytes& out) { Copy(packet, out); });
  }
  void SendReset(const FlowKey& flow, std::uint32_t seq) {
    effects_.push_back(
        {.kind = EffectKind::kResetCaller, .seq = seq, .flow = flow});
  }

  const std::vector<Effect>& effects() const { return effects_; }
  ByteView Datagram(const Effect& effect) const {
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
