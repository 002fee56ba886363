#include "cowslip/engine/reply_path.h"

#include <utility>

namespace cowslip::engine {

void ReplyPath::OnFrame(const link::FrameHeader& header, const Endpoint& from,
                        TimePoint now) {
  if (header.balancer == from) {
    balancers_.OnHeard(from, now);
  } else {
    balancers_.Learn(header.balancer, now);
  }
}

void ReplyPath::OnAck(const link::FrameHeader& header) {
  if (stored_.empty()) return;
  const auto first = stored_.front().header.sequence;
  const auto index = header.sequence - first;
  if (header.sequence < first || index >= stored_.size()) return;
  stored_[index].done = true;
  while (!stored_.empty() && stored_.front().done) stored_.pop_front();
}

void ReplyPath::OnLeaving(const Endpoint& balancer, TimePoint now,
                          SidecarEffects& effects) {
  balancers_.OnLeaving(balancer, now);
  RerouteFrom(balancer, now, effects);
}

/// Sends the replies that the balancer has not acknowledged through another
/// one, in their order.
void ReplyPath::RerouteFrom(const Endpoint& balancer, TimePoint now,
                            SidecarEffects& effects) {
  const auto size = stored_.size();
  for (std::size_t i = 0; i < size; ++i) {
    if (stored_[i].done || stored_[i].balancer != balancer) continue;
    auto copy = stored_[i];
    stored_[i].done = true;
    Resend(std::move(copy), now, effects);
  }
}

void ReplyPath::Send(const link::FrameHeader& header, ByteView payload,
                     const Endpoint& preferred, bool reliable, TimePoint now,
                     SidecarEffects& effects) {
  const auto balancer = balancers_.Choose(preferred, now);
  auto sent = header;
  if (reliable && stored_.size() >= kMaxKept) {
    counters_->Add(Counter::kRepliesNotKept);
    reliable = false;
  }
  const bool requests_ack =
      stored_.size() < kMaxKept && balancers_.TakeConfirmation(balancer, now);
  if (reliable || requests_ack) {
    sent.flags |= link::kFlagNeedsAck;
    sent.sequence = next_sequence_;
    Store(sent, reliable ? payload : ByteView{}, balancer, now);
  }
  effects.frames.push_back({balancer, sent, payload});
}

void ReplyPath::Store(const link::FrameHeader& header, ByteView payload,
                      const Endpoint& balancer, TimePoint now) {
  ++next_sequence_;
  stored_.push_back({header, Bytes(payload.begin(), payload.end()), balancer,
                     now + kAckTime});
}

void ReplyPath::Expire(TimePoint now, SidecarEffects& effects) {
  while (!stored_.empty() &&
         (stored_.front().done || stored_.front().due <= now)) {
    if (!stored_.front().done) {
      const auto balancer = stored_.front().balancer;
      balancers_.MarkSilent(balancer);
      RerouteFrom(balancer, now, effects);
    }
    stored_.pop_front();
  }
}

/// Sends the reply through another balancer, with a new sequence number.
void ReplyPath::Resend(StoredReply reply, TimePoint now,
                       SidecarEffects& effects) {
  if (reply.payload.empty() || reply.sends >= kMaxSends) return;
  counters_->Add(Counter::kRepliesRetried);
  const auto balancer = balancers_.Choose({}, now);
  reply.header.sequence = next_sequence_;
  Store(reply.header, reply.payload, balancer, now);
  stored_.back().sends = reply.sends + 1;
  effects.frames.push_back(
      {balancer, reply.header, effects.scratch.Keep(std::move(reply.payload))});
}

}  // namespace cowslip::engine
