#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"

namespace cowslip::segment {

/// Flows that one query asks about at most. With it a query takes at most 1,304
/// bytes, so it is not fragmented, and a reply has one bit for each flow.
inline constexpr std::size_t kMaxQueriedFlows = 64;

/// A flow whose owner is looked up.
struct QueriedFlow {
  FlowKey flow;
  /// Acknowledgement number of the caller's packet, which may choose the
  /// upstream that answered the SYN.
  std::uint32_t caller_ack = 0;
  /// The receiver's service is one that the route is known to have led to. If
  /// not, its upstream must not be given packets of the flow.
  bool routed = true;
};

/// Asks a sidecar whether its upstream owns some flows.
struct OwnerQuery {
  /// Identifies the query; its replies carry the same number. Never used twice
  /// by a balancer.
  std::uint64_t number = 0;
  std::uint64_t config = 0;  ///< Version of the balancer's route table.
  std::uint8_t flow_count = 0;
  std::array<QueriedFlow, kMaxQueriedFlows> flows;

  /// Adds a flow. @pre flow_count < kMaxQueriedFlows
  void Add(const QueriedFlow& flow) { flows[flow_count++] = flow; }
  std::span<const QueriedFlow> queried() const {
    return std::span(flows).first(flow_count);
  }
};

/// Answer to an OwnerQuery. Bit i of each set stands for its flow i; a flow in
/// neither set is unknown to the sidecar.
struct OwnerReply {
  std::uint64_t number = 0;
  std::uint8_t flow_count = 0;
  std::uint64_t owned = 0;
  std::uint64_t not_owned = 0;
  /// State of the sidecar; only the fields that an acknowledgement has for it.
  Ack state;
};

/// @return std::nullopt if the datagram is truncated or invalid.
std::optional<OwnerQuery> DecodeOwnerQuery(ByteView datagram);
std::optional<OwnerReply> DecodeOwnerReply(ByteView datagram);

void AppendOwnerQuery(const OwnerQuery& query, Bytes& out);
void AppendOwnerReply(const OwnerReply& reply, Bytes& out);

}  // namespace cowslip::segment
