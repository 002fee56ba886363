#pragma once

#include <cstdint>
#include <deque>

#include "cowslip/base.h"
#include "cowslip/engine/balancer_table.h"
#include "cowslip/engine/counters.h"
#include "cowslip/engine/sidecar_effects.h"
#include "cowslip/link.h"

namespace cowslip::engine {

/// Brings replies to callers through balancers that may die at any moment.
///
/// A reply that matters is kept until a balancer acknowledges that it was sent
/// on. Without an acknowledgement within kAckTime the balancer counts as silent
/// and the reply takes another one, at most kMaxSends times in all. Others ask
/// for an acknowledgement now and then, only to find out about the balancer.
class ReplyPath {
 public:
  static constexpr std::chrono::milliseconds kAckTime{100};
  static constexpr int kMaxSends = 8;
  /// Replies kept at the same time; further ones are sent once and counted.
  static constexpr std::size_t kMaxKept = 4096;

  explicit ReplyPath(Counters& counters) : counters_(&counters) {}

  /// Notes any frame: from a balancer itself, or passed on by a sidecar.
  void OnFrame(const link::FrameHeader& header, const Endpoint& from,
               TimePoint now);
  void OnAck(const link::FrameHeader& header);
  /// Moves the replies that the leaving balancer has not acknowledged.
  void OnLeaving(const Endpoint& balancer, TimePoint now,
                 SidecarEffects& effects);

  /// @param preferred the balancer that took the caller's latest datagram.
  /// @param matters the reply is kept until it is acknowledged.
  void Send(const link::FrameHeader& header, ByteView payload,
            const Endpoint& preferred, bool matters, TimePoint now,
            SidecarEffects& effects);
  /// Sends overdue replies again.
  void Expire(TimePoint now, SidecarEffects& effects);

  std::size_t kept() const { return kept_.size(); }
  std::size_t known_balancers() const { return balancers_.size(); }

 private:
  struct Kept {
    link::FrameHeader header;
    Bytes payload;  ///< Empty if the reply is not to be sent again.
    Endpoint balancer;
    TimePoint due{};
    int sends = 1;
    bool done = false;
  };

  void Keep(const link::FrameHeader& header, ByteView payload,
            const Endpoint& balancer, TimePoint now);
  void MoveAway(const Endpoint& balancer, TimePoint now,
                SidecarEffects& effects);
  void SendAgain(Kept kept, TimePoint now, SidecarEffects& effects);

  Counters* counters_;
  BalancerTable balancers_;
  std::deque<Kept> kept_;  ///< In order of sequence and of due time.
  std::uint64_t next_sequence_ = 1;
};

}  // namespace cowslip::engine
