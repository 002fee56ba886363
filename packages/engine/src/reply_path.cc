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
  if (kept_.empty()) return;
  const auto first = kept_.front().header.sequence;
  const auto index = header.sequence - first;
  if (header.sequence < first || index >= kept_.size()) return;
  kept_[index].done = true;
  while (!kept_.empty() && kept_.front().done) kept_.pop_front();
}

void ReplyPath::OnLeaving(const Endpoint& balancer, TimePoint now,
                          SidecarEffects& effects) {
  balancers_.OnLeaving(balancer, now);
  MoveAway(balancer, now, effects);
}

/// Sends again, in order, what the balancer has not acknowledged.
void ReplyPath::MoveAway(const Endpoint& balancer, TimePoint now,
                         SidecarEffects& effects) {
  const auto size = kept_.size();
  for (std::size_t i = 0; i < size; ++i) {
    if (kept_[i].done || kept_[i].balancer != balancer) continue;
    auto moved = kept_[i];
    kept_[i].done = true;
    SendAgain(std::move(moved), now, effects);
  }
}

void ReplyPath::Send(const link::FrameHeader& header, ByteView payload,
                     const Endpoint& preferred, bool matters, TimePoint now,
                     SidecarEffects& effects) {
  const auto balancer = balancers_.Choose(preferred, now);
  auto sent = header;
  if (matters && kept_.size() >= kMaxKept) {
    counters_->Add(Counter::kRepliesNotKept);
    matters = false;
  }
  const bool asks =
      kept_.size() < kMaxKept && balancers_.TakeConfirmation(balancer, now);
  if (matters || asks) {
    sent.flags |= link::kFlagNeedsAck;
    sent.sequence = next_sequence_;
    Keep(sent, matters ? payload : ByteView{}, balancer, now);
  }
  effects.frames.push_back({balancer, sent, payload});
}

void ReplyPath::Keep(const link::FrameHeader& header, ByteView payload,
                     const Endpoint& balancer, TimePoint now) {
  ++next_sequence_;
  kept_.push_back({header, Bytes(payload.begin(), payload.end()), balancer,
                   now + kAckTime});
}

void ReplyPath::Expire(TimePoint now, SidecarEffects& effects) {
  while (!kept_.empty() && (kept_.front().done || kept_.front().due <= now)) {
    if (!kept_.front().done) {
      const auto balancer = kept_.front().balancer;
      balancers_.MarkSilent(balancer);
      MoveAway(balancer, now, effects);
    }
    kept_.pop_front();
  }
}

/// Sends the reply through another balancer, under a sequence of its own.
void ReplyPath::SendAgain(Kept kept, TimePoint now, SidecarEffects& effects) {
  if (kept.payload.empty() || kept.sends >= kMaxSends) return;
  counters_->Add(Counter::kRepliesRetried);
  const auto balancer = balancers_.Choose({}, now);
  kept.header.sequence = next_sequence_;
  Keep(kept.header, kept.payload, balancer, now);
  kept_.back().sends = kept.sends + 1;
  effects.frames.push_back(
      {balancer, kept.header, effects.scratch.Keep(std::move(kept.payload))});
}

}  // namespace cowslip::engine
