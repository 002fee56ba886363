#include "segment/fake_caller.h"

namespace cowslip::segment::test {
namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t kRequestLength = 100;
constexpr milliseconds kFirstCopy{200};
constexpr milliseconds kSecondCopy{400};
constexpr milliseconds kOpeningPatience{800};
constexpr milliseconds kDeadline{4000};

}  // namespace

void FakeCaller::Open() {
  state_ = CallState::kOpening;
  started_ = output_.now();
  RepeatOpening(0);
}

void FakeCaller::RepeatOpening(std::uint32_t copy) {
  if (state_ != CallState::kOpening) return;
  constexpr std::uint32_t kCopies = 3;
  if (copy == kCopies) {
    End(CallState::kTimedOut);
    return;
  }
  Segment opening;
  opening.flow = flow_;
  opening.syn = true;
  opening.seq = seq_;
  opening.ack = copy;
  output_.send(opening);
  const milliseconds pauses[] = {kFirstCopy, kSecondCopy, kOpeningPatience};
  output_.after(pauses[copy], [this, copy] { RepeatOpening(copy + 1); });
}

void FakeCaller::Ask() {
  ++request_;
  seq_ += kRequestLength;
  state_ = CallState::kWaiting;
  started_ = output_.now();
  RepeatRequest(request_, milliseconds(200));
  output_.after(kDeadline, [this, request = request_] {
    if (request == request_ && state_ == CallState::kWaiting) {
      End(CallState::kTimedOut);
    }
  });
}

void FakeCaller::RepeatRequest(int request, milliseconds pause) {
  if (request != request_ || state_ != CallState::kWaiting) return;
  SendRequest();
  output_.after(pause, [this, request, pause] {
    RepeatRequest(request, std::min(2 * pause, milliseconds(1600)));
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
      End(CallState::kReset);
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
  // An answer from an upstream that the caller did not choose is not its own.
  if (segment.seq - ack_ > 1U << 20 || state_ != CallState::kWaiting) return;
  ack_ = segment.end_seq();
  End(CallState::kAnswered);
}

void FakeCaller::End(CallState state) {
  state_ = state;
  ended_ = output_.now();
}

}  // namespace cowslip::segment::test
