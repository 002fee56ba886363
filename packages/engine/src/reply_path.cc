#include "cowslip/engine/reply_path.h"

#include <utility>

namespace cowslip::engine {

void ReplySender::OnFrame(const link::FrameHeader& header, const Endpoint& from,
                          TimePoint now) {
  if (header.balancer == from) {
    balancers_.OnFrameFrom(from, now);
  } else {
    balancers_.AddReported(header.balancer, now);
  }
}

void ReplySender::OnAck(const link::FrameHeader& header) {
  if (stored_.empty()) return;
  const auto first = stored_.front().header.sequence;
  const auto index = header.sequence - first;
  if (header.sequence < first || index >= stored_.size()) return;
  stored_[index].done = true;
  while (!stored_.empty() && stored_.front().done) stored_.pop_front();
}

void ReplySender::OnBalancerLeaving(const Endpoint& balancer, TimePoint now,
                                    SidecarEffects& effects) {
  balancers_.OnLeaving(balancer, now);
  RerouteFrom(balancer, now, effects);
}

/// Sends the replies that the balancer has not acknowledged through another
/// one, in their order.
void ReplySender::RerouteFrom(const Endpoint& balancer, TimePoint now,
                              SidecarEffects& effects) {
  const auto size = stored_.size();
  for (std::size_t i = 0; i < size; ++i) {
    if (stored_[i].done || stored_[i].balancer != balancer) continue;
    auto copy = stored_[i];
    stored_[i].done = true;
    Resend(std::move(copy), now, effects);
  }
}

void ReplySender::Send(const link::FrameHeader& header, ByteView payload,
                       const Endpoint& preferred, bool reliable, TimePoint now,
                       SidecarEffects& effects) {
  const auto balancer = balancers_.Choose(preferred, now);
  auto sent = header;
  if (reliable && stored_.size() >= kMaxUnacknowledged) {
    counters_->Add(Counter::kRepliesNotKept);
    reliable = false;
  }
  const bool requests_ack = stored_.size() < kMaxUnacknowledged &&
                            balancers_.ShouldRequestAck(balancer, now);
  if (reliable || requests_ack) {
    sent.flags |= link::kFlagNeedsAck;
    sent.sequence = next_sequence_;
    StoreReply(sent, reliable ? payload : ByteView{}, balancer, now);
  }
  effects.frames.push_back({balancer, sent, payload});
}

void ReplySender::StoreReply(const link::FrameHeader& header, ByteView payload,
                             const Endpoint& balancer, TimePoint now) {
  ++next_sequence_;
  stored_.push_back({header, Bytes(payload.begin(), payload.end()), balancer,
                     now + kAckTimeout});
}

void ReplySender::Expire(TimePoint now, SidecarEffects& effects) {
  while (!stored_.empty() &&
         (stored_.front().done || stored_.front().due <= now)) {
    if (!stored_.front().done) {
      const auto balancer = stored_.front().balancer;
      balancers_.OnAckTimeout(balancer);
      RerouteFrom(balancer, now, effects);
    }
    stored_.pop_front();
  }
}

/// Sends the reply through another balancer, with a new sequence number.
void ReplySender::Resend(StoredReply reply, TimePoint now,
                         SidecarEffects& effects) {
  if (reply.payload.empty() || reply.sends >= kMaxSends) return;
  counters_->Add(Counter::kRepliesRetried);
  const auto balancer = balancers_.Choose({}, now);
  reply.header.sequence = next_sequence_;
  StoreReply(reply.header, reply.payload, balancer, now);
  stored_.back().sends = reply.sends + 1;
  effects.frames.push_back({balancer, reply.header,
                            effects.scratch.Store(std::move(reply.payload))});
}

}  // namespace cowslip::engine
