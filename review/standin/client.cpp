#include "review/standin/client.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace review {
namespace {

/// A client sends copies of its SYN after 200 ms and 600 ms, and gives up after
/// 1.4 s.
constexpr std::array<milliseconds, 3> kSynDelays{
    milliseconds(200), milliseconds(400), milliseconds(800)};
constexpr milliseconds kFirstRetransmission{200};
constexpr milliseconds kLongestRetransmission{1600};
constexpr milliseconds kDeadline{4000};
/// A reset of the system has a number within this distance of the client's last
/// acknowledgement.
constexpr std::int32_t kResetWindow = 76800;

}  // namespace

ClientFlow::ClientFlow(const FlowEnds& ends, Output output, Record& record,
                       std::uint32_t first_seq)
    : ends_(ends),
      output_(std::move(output)),
      record_(&record),
      next_seq_(first_seq) {}

Packet ClientFlow::MakePacket(std::uint8_t flags) const {
  Packet packet;
  packet.source = ends_.first;
  packet.target = ends_.second;
  packet.flags = flags;
  packet.seq = next_seq_;
  packet.ack = acknowledged_;
  return packet;
}

void ClientFlow::Open() { SendSyn(0); }

void ClientFlow::SendSyn(std::uint32_t copy) {
  if (state_ != State::kOpening) return;
  if (copy == kSynDelays.size()) {
    state_ = State::kFailed;
    record_->Line("client " + Describe(ends_) + " could not open");
    return;
  }
  auto syn = MakePacket(kSyn);
  syn.ack = copy;
  output_.send(syn);
  output_.after(kSynDelays[copy], [this, copy] { SendSyn(copy + 1); });
}

void ClientFlow::Ask() {
  if (state_ != State::kOpen || waiting_) return;
  waiting_ = true;
  ++requests_;
  const auto id = ToString(ends_.first) + "-" + std::to_string(requests_);
  request_ =
      "GET /feed HTTP/1.1\r\nHost: feed\r\nX-Request-Id: " + id + "\r\n\r\n";
  record_->Line("client " + Describe(ends_) + " asks " + id);
  SendRequest(requests_, kFirstRetransmission);
  output_.after(kDeadline, [this, request = requests_] {
    if (!waiting_ || request != requests_) return;
    waiting_ = false;
    ++unanswered_;
    record_->Line("client " + Describe(ends_) + " got no answer by deadline");
  });
}

void ClientFlow::SendRequest(int request, milliseconds delay) {
  if (!waiting_ || request != requests_ || state_ != State::kOpen) return;
  auto packet = MakePacket(kAck);
  packet.data = request_;
  output_.send(packet);
  output_.after(delay, [this, request, delay] {
    SendRequest(request, std::min(2 * delay, kLongestRetransmission));
  });
}

void ClientFlow::OnReset(const Packet& packet) {
  if (state_ == State::kOpening) {
    state_ = State::kReset;
    record_->Line("client " + Describe(ends_) + " is refused by a reset");
    return;
  }
  const auto distance = static_cast<std::int32_t>(packet.seq - acknowledged_);
  if (state_ != State::kOpen || std::abs(distance) > kResetWindow) return;
  state_ = State::kReset;
  was_reset_open_ = true;
  if (waiting_) ++unanswered_;
  waiting_ = false;
  record_->Line("client " + Describe(ends_) + " is reset while open");
}

void ClientFlow::OnPacket(const Packet& packet) {
  if (packet.has(kRst)) {
    OnReset(packet);
    return;
  }
  if (!HasValidSum(packet)) {
    ++foreign_answers_;
    record_->Line("client " + Describe(ends_) + " got a changed packet");
    return;
  }
  if (packet.has(kSyn)) {
    if (state_ != State::kOpening) return;
    state_ = State::kOpen;
    acknowledged_ = packet.seq + 1;
    ++next_seq_;
    Ask();
    return;
  }
  if (state_ != State::kOpen || packet.data.empty()) return;
  if (packet.seq != acknowledged_) {
    output_.send(MakePacket(kAck));
    return;
  }
  acknowledged_ += static_cast<std::uint32_t>(packet.data.size());
  next_seq_ += static_cast<std::uint32_t>(request_.size());
  const auto id = ToString(ends_.first) + "-" + std::to_string(requests_);
  if (packet.data.find("X-Request-Id: " + id + "\r\n") == std::string::npos) {
    ++foreign_answers_;
  }
  if (waiting_) ++answered_;
  waiting_ = false;
  record_->Line("client " + Describe(ends_) + " is answered " + id);
  output_.send(MakePacket(kAck));
}

}  // namespace review
