#include "segment/fake_upstream.h"

namespace cowslip::segment::test {
namespace {

constexpr std::uint16_t kAnswerLength = 600;
constexpr std::uint32_t kSeqStep = 10'000'000;
constexpr std::uint32_t kSeqWindow = 1U << 20;

}  // namespace

void FakeUpstream::Crash() {
  alive_ = false;
  flows_.clear();
  waiting_.clear();
  busy_ = 0;
}

void FakeUpstream::Restart() {
  Crash();
  alive_ = true;
  ++start_;
}

void FakeUpstream::OnPacket(const Segment& segment, std::uint32_t token) {
  if (!alive_) return;
  if (segment.is_syn()) {
    Accept(segment);
    return;
  }
  const auto found = flows_.find(segment.flow);
  if (found == flows_.end()) {
    ++foreign_;
    output_.give_back(segment, token);
    return;
  }
  auto& flow = found->second;
  // A caller that chose another upstream's answer acknowledges that one.
  if (!flow.open && segment.ack - flow.seq >= kSeqWindow) {
    output_.give_back(segment, token);
    return;
  }
  flow.open = true;
  if (segment.length == 0) return;
  const bool is_new =
      static_cast<std::int32_t>(segment.end_seq() - flow.caller_next) > 0;
  if (!is_new) return;
  flow.caller_next = segment.end_seq();
  Enqueue(segment.flow);
}

void FakeUpstream::Accept(const Segment& segment) {
  auto [found, added] = flows_.try_emplace(segment.flow);
  if (added) {
    found->second.seq = next_seq_;
    found->second.caller_next = segment.seq;
    next_seq_ += kSeqStep;
  }
  Segment answer;
  answer.flow = segment.flow;
  answer.syn = true;
  answer.ack_flag = true;
  answer.seq = found->second.seq;
  answer.ack = segment.seq;
  output_.send(answer);
}

void FakeUpstream::Enqueue(const FlowKey& flow) {
  if (busy_ < options_.slots) {
    Run(flow);
  } else if (waiting_.size() < options_.queue) {
    waiting_.push_back(flow);
  } else {
    ++refused_;
    Answer(flow);
  }
}

void FakeUpstream::Run(const FlowKey& flow) {
  ++busy_;
  ++runs_;
  if (output_.runs) output_.runs(flow, flows_[flow].caller_next);
  output_.after(options_.service_time, [this, flow, start = start_] {
    if (!alive_ || start != start_) return;
    --busy_;
    Answer(flow);
    if (waiting_.empty()) return;
    const auto next = waiting_.front();
    waiting_.pop_front();
    Run(next);
  });
}

void FakeUpstream::Answer(const FlowKey& key) {
  const auto found = flows_.find(key);
  if (found == flows_.end()) return;
  auto& flow = found->second;
  Segment answer;
  answer.flow = key;
  answer.ack_flag = true;
  answer.seq = flow.seq;
  answer.length = kAnswerLength;
  answer.ack = flow.caller_next;
  flow.seq += kAnswerLength;
  output_.send(answer);
}

}  // namespace cowslip::segment::test
