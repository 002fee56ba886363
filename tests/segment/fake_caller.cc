#include "segment/fake_caller.h"

namespace cowslip::segment::test {
namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t kRequestLength = 100;
constexpr milliseconds kFirstSynRetry{200};
constexpr milliseconds kSecondSynRetry{400};
constexpr milliseconds kSynTimeout{800};
constexpr milliseconds kDeadline{4000};

}  // namespace

void FakeCaller::Open() {
  state_ = CallState::kOpening;
  started_ = output_.now();
  SendSyn(0);
}

void FakeCaller::SendSyn(std::uint32_t copy) {
  if (state_ != CallState::kOpening) return;
  constexpr std::uint32_t kSynCopies = 3;
  if (copy == kSynCopies) {
    Finish(CallState::kTimedOut);
    return;
  }
  Segment syn_packet;
  syn_packet.flow = flow_;
  syn_packet.syn = true;
  syn_packet.seq = seq_;
  syn_packet.ack = copy;
  output_.send(syn_packet);
  const milliseconds delays[] = {kFirstSynRetry, kSecondSynRetry, kSynTimeout};
  output_.after(delays[copy], [this, copy] { SendSyn(copy + 1); });
}

void FakeCaller::Ask() {
  ++request_;
  seq_ += kRequestLength;
  state_ = CallState::kWaiting;
  started_ = output_.now();
  RetransmitRequest(request_, milliseconds(200));
  output_.after(kDeadline, [this, request = request_] {
    if (request == request_ && state_ == CallState::kWaiting) {
      Finish(CallState::kTimedOut);
    }
  });
}

void FakeCaller::RetransmitRequest(int request, milliseconds delay) {
  if (request != request_ || state_ != CallState::kWaiting) return;
  SendRequest();
  output_.after(delay, [this, request, delay] {
    RetransmitRequest(request, std::min(2 * delay, milliseconds(1600)));
  });
}

void FakeCaller::SendRequest() {
  Segment request;
  request.flow = flow_;
  request.ack_flag = true;
  request.seq = seq_ - kRequestLength;
  request.length = kRequestLength;
  request.ack = ack_;
  output_.send(request);
}

void FakeCaller::OnPacket(const Segment& segment) {
  if (segment.rst) {
    if (state_ == CallState::kOpening || state_ == CallState::kWaiting) {
      Finish(CallState::kReset);
    }
    open_ = false;
    return;
  }
  if (segment.syn) {
    if (open_ || state_ != CallState::kOpening) return;
    open_ = true;
    ack_ = segment.seq;
    const auto started = started_;
    Ask();
    started_ = started;
    return;
  }
  // Ignores responses of an upstream whose SYN-ACK the caller did not choose.
  if (segment.seq - ack_ > 1U << 20 || state_ != CallState::kWaiting) return;
  ack_ = segment.end_seq();
  Finish(CallState::kAnswered);
}

void FakeCaller::Abort() {
  if (open_) {
    Segment reset;
    reset.flow = flow_;
    reset.rst = true;
    reset.seq = seq_;
    reset.ack = ack_;
    output_.send(reset);
  }
  open_ = false;
  Finish(CallState::kTimedOut);
}

void FakeCaller::SendFin() {
  Segment fin;
  fin.flow = flow_;
  fin.ack_flag = true;
  fin.fin = true;
  fin.seq = seq_;
  fin.ack = ack_;
  output_.send(fin);
}

void FakeCaller::Finish(CallState state) {
  state_ = state;
  ended_ = output_.now();
}

}  // namespace cowslip::segment::test
