#include "segment/fake_upstream.h"

namespace cowslip::segment::test {
namespace {

constexpr std::uint16_t kResponseLength = 600;
constexpr std::uint16_t kErrorLength = 60;
constexpr std::uint32_t kSeqStep = 10'000'000;
constexpr std::uint32_t kFirstAckWindow = 1U << 20;

}  // namespace

void FakeUpstream::Crash() {
  alive_ = false;
  flows_.clear();
  queue_.clear();
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
    ++not_owned_;
    output_.return_packet(segment, token);
    return;
  }
  auto& flow = found->second;
  // A caller that chose the SYN-ACK of another upstream acknowledges its
  // sequence number.
  if (!flow.open && segment.ack - flow.seq >= kFirstAckWindow) {
    output_.return_packet(segment, token);
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
  Segment response;
  response.flow = segment.flow;
  response.syn = true;
  response.ack_flag = true;
  response.seq = found->second.seq;
  response.ack = segment.seq;
  output_.send(response);
}

void FakeUpstream::Enqueue(const FlowKey& flow) {
  if (output_.receives) output_.receives();
  if (busy_ < options_.slots) {
    StartRequest(flow);
  } else if (queue_.size() < options_.queue) {
    queue_.push_back(flow);
  } else {
    ++refused_;
    SendResponse(flow);
  }
}

void FakeUpstream::StartRequest(const FlowKey& flow) {
  ++busy_;
  ++started_requests_;
  if (output_.runs) output_.runs(flow, flows_[flow].caller_next);
  const auto service_time = output_.draw_service_time
                                ? output_.draw_service_time()
                                : options_.service_time;
  output_.after(service_time, [this, flow, start = start_] {
    if (!alive_ || start != start_) return;
    --busy_;
    ++ended_requests_;
    const bool answers = options_.unanswered_every == 0 ||
                         ended_requests_ % options_.unanswered_every != 0;
    if (answers) SendResponse(flow);
    if (queue_.empty()) return;
    const auto next = queue_.front();
    queue_.pop_front();
    StartRequest(next);
  });
}

void FakeUpstream::SendResponse(const FlowKey& key) {
  const auto found = flows_.find(key);
  if (found == flows_.end()) return;
  auto& flow = found->second;
  failed_percent_ += failures_.percent;
  const bool fails = failed_percent_ >= 100;
  if (fails) failed_percent_ -= 100;
  if (fails && failures_.resets) {
    SendReset(key);
    return;
  }
  Segment response;
  response.flow = key;
  response.ack_flag = true;
  response.seq = flow.seq;
  response.length = fails ? kErrorLength : kResponseLength;
  response.ack = flow.caller_next;
  flow.seq += response.length;
  output_.send(response);
}

void FakeUpstream::SendReset(const FlowKey& key) {
  const auto found = flows_.find(key);
  Segment reset;
  reset.flow = key;
  reset.rst = true;
  reset.seq = found->second.seq;
  flows_.erase(found);
  output_.send(reset);
}

}  // namespace cowslip::segment::test
