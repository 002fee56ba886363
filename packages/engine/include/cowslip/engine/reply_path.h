#pragma once

#include <cstdint>
#include <deque>

#include "cowslip/base.h"
#include "cowslip/engine/balancer_table.h"
#include "cowslip/engine/counters.h"
#include "cowslip/engine/sidecar_effects.h"
#include "cowslip/link.h"

namespace cowslip::engine {

/// Sends replies to callers through balancers, any of which may fail.
///
/// A reliable reply is stored until a balancer acknowledges that it has sent it
/// to the caller. If no acknowledgement arrives within kAckTimeout, the
/// balancer counts as unresponsive and the reply is sent through another one,
/// at most kMaxSends times in all. Other replies are sent once; some of them
/// request an acknowledgement too, in order to check the balancer.
class ReplySender {
 public:
  /// Time within which a balancer must acknowledge a reply.
  static constexpr std::chrono::milliseconds kAckTimeout{100};
  /// Times that one reply is sent, the first one included.
  static constexpr int kMaxSends = 8;
  /// Replies stored at the same time; further ones are sent once and counted in
  /// Counter::kRepliesNotKept.
  static constexpr std::size_t kMaxUnacknowledged = 4096;

  explicit ReplySender(Counters& counters) : counters_(&counters) {}

  /// Adds the balancer named in any frame, which came from the balancer itself
  /// or was forwarded by a sidecar.
  void OnFrame(const link::FrameHeader& header, const Endpoint& from,
               TimePoint now);
  /// Handles the acknowledgement of a reply.
  void OnAck(const link::FrameHeader& header);
  /// Handles the announced shutdown of a balancer: sends the replies that it
  /// has not acknowledged through another one.
  void OnBalancerLeaving(const Endpoint& balancer, TimePoint now,
                         SidecarEffects& effects);

  /// @param preferred the balancer that forwarded the caller's latest datagram.
  /// @param reliable whether to store the reply until it is acknowledged.
  void Send(const link::FrameHeader& header, ByteView payload,
            const Endpoint& preferred, bool reliable, TimePoint now,
            SidecarEffects& effects);
  /// Sends the replies again that were not acknowledged in time.
  void Expire(TimePoint now, SidecarEffects& effects);

  std::size_t unacknowledged_count() const { return stored_.size(); }
  std::size_t known_balancers() const { return balancers_.size(); }

 private:
  struct StoredReply {
    link::FrameHeader header;
    Bytes payload;  ///< Empty if the reply is not to be sent again.
    Endpoint balancer;
    TimePoint due{};    ///< When the acknowledgement is overdue.
    int sends = 1;      ///< Times that the reply was sent.
    bool done = false;  ///< Acknowledged, or sent again under a new sequence.
  };

  void StoreReply(const link::FrameHeader& header, ByteView payload,
                  const Endpoint& balancer, TimePoint now);
  void RerouteFrom(const Endpoint& balancer, TimePoint now,
                   SidecarEffects& effects);
  void Resend(StoredReply reply, TimePoint now, SidecarEffects& effects);

  Counters* counters_;
  BalancerTable balancers_;
  std::deque<StoredReply> stored_;  ///< In order of sequence and of due time.
  std::uint64_t next_sequence_ = 1;
};

}  // namespace cowslip::engine
