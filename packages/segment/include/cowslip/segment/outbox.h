#pragma once

#include <cstdint>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"
#include "cowslip/segment/owner_query.h"

namespace cowslip::segment {

/// What an Effect asks for.
enum class EffectKind : std::uint8_t {
  kSendToInstance,  ///< Sends a datagram to another instance.
  kSendToUpstream,  ///< Sends a packet to the sidecar's own upstream.
  kSendToCaller,    ///< Sends a packet of the upstream to its caller.
  kResetCaller,     ///< Sends a reset to a caller, in place of the upstream.
};

/// One output of the forwarding logic, to be carried out by its caller.
struct Effect {
  EffectKind kind{};
  InstanceAddress instance = 0;  ///< Of kSendToInstance.
  /// Of kSendToUpstream: identifies the frame if the packet is returned.
  std::uint32_t token = 0;
  std::uint32_t seq = 0;   ///< Of kResetCaller.
  FlowKey flow{};          ///< Of kSendToCaller and kResetCaller.
  std::size_t offset = 0;  ///< Start of the datagram in the outbox.
  std::size_t size = 0;
};

/// Collects effects and their datagrams. All datagrams share one buffer that
/// keeps its capacity, so sending a packet allocates no memory.
class Outbox {
 public:
  void SendFrame(InstanceAddress to, const SegmentFrame& frame,
                 ByteView packet) {
    Append({.kind = EffectKind::kSendToInstance, .instance = to},
           [&](Bytes& out) { AppendSegmentFrame(frame, packet, out); });
  }
  void SendAck(InstanceAddress to, const Ack& ack) {
    Append({.kind = EffectKind::kSendToInstance, .instance = to},
           [&](Bytes& out) { AppendAck(ack, out); });
  }
  void SendProbe(InstanceAddress to) {
    Append({.kind = EffectKind::kSendToInstance, .instance = to},
           [](Bytes& out) { AppendProbe(out); });
  }
  void SendOwnerQuery(InstanceAddress to, const OwnerQuery& query) {
    Append({.kind = EffectKind::kSendToInstance, .instance = to},
           [&](Bytes& out) { AppendOwnerQuery(query, out); });
  }
  void SendOwnerReply(InstanceAddress to, const OwnerReply& reply) {
    Append({.kind = EffectKind::kSendToInstance, .instance = to},
           [&](Bytes& out) { AppendOwnerReply(reply, out); });
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
  /// Removes all effects and keeps the capacity.
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
