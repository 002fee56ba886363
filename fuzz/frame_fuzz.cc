// Passes mutated frames and CoAP messages to the decoders and to the engines of
// balancer and sidecar. A crash fails the test; the summary counts accepted and
// rejected frames.

#include <docopt/docopt.h>

#include <algorithm>
#include <iostream>

#include "cowslip/engine.h"
#include "mutator.h"
#include "tests/support/sample_view.h"

namespace {

using namespace cowslip;  // NOLINT(google-build-using-namespace)

constexpr char kUsage[] =
    R"(Fuzzes the frame and message parsers and the engines.

Usage:
  frame_fuzz [--seed N] [--inputs N]

Options:
  --seed N    Seed of the random generator [default: 1].
  --inputs N  Number of rounds [default: 100000].
)";

constexpr Endpoint kService{0x7f350001, 5683};
constexpr Endpoint kCaller{0x7f000001, 40000};
constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::uint32_t kMembers = 3;

Bytes MakeMessage(fuzz::Mutator& mutator) {
  coap::Message message;
  message.type = static_cast<coap::Type>(mutator.Below(4));
  message.code = static_cast<coap::Code>(mutator.Byte());
  message.message_id = mutator.Byte();
  message.token = Bytes(mutator.Below(9), mutator.Byte());
  message.SetOption(coap::OptionNumber::kObserve, {});
  message.SetOption(coap::OptionNumber::kUriPath, {'f', 'e', 'e', 'd'});
  message.SetUintOption(coap::OptionNumber::kBlock2, mutator.Byte());
  if (mutator.Below(2) == 0) {
    message.SetOption(coap::OptionNumber::kEcho, Bytes(40, mutator.Byte()));
  }
  message.payload = Bytes(mutator.Below(64), mutator.Byte());
  LastReason<coap::CoapError> reason;
  return coap::Encode(message, reason).value_or(Bytes{});
}

link::FrameHeader MakeHeader(fuzz::Mutator& mutator) {
  link::FrameHeader header;
  header.kind = static_cast<link::FrameKind>(1 + mutator.Below(12));
  header.flags = mutator.Byte();
  header.service = ServiceId(mutator.Below(3));
  header.ticket = TicketNumber(mutator.Below(3));
  header.sender = mutator.Byte() % 5;
  header.incarnation = Incarnation(mutator.Below(3));
  header.flow = {kCaller, kService};
  header.flow.caller.port = static_cast<std::uint16_t>(mutator.Below(50));
  header.balancer = {0x7f140001, 7000};
  header.sequence = mutator.Byte();
  const auto visited = mutator.Below(9);
  for (std::size_t i = 0; i < visited; ++i) {
    header.visited.Add(UpstreamId(mutator.Byte() % 6));
  }
  return header;
}

/// The engines under test and counters of the frames passed to them.
class Target {
 public:
  explicit Target(std::uint64_t seed) : mutator_(seed) {
    LastReason<engine::EngineError> reason;
    engine::SidecarOptions options;
    options.id = UpstreamId(1);
    options.service = ServiceId(1);
    options.incarnation = Incarnation(1);
    options.started = kStart;
    options.slots = 2;
    sidecar_ = engine::Sidecar::Create(options, reason);
    balancer_ = engine::Balancer::Create({BalancerId(1), {}, 1024}, reason);
    LastReason<link::LinkError> link_reason;
    codec_ = link::FrameCodec::Create(link::FrameKey{}, link_reason);
    sidecar_->OnView(
        testing::MakeSampleView(kService, kMembers, ticket::Protocol::kCoap),
        kStart, to_sidecar_);
    balancer_->OnView(
        testing::MakeSampleView(kService, kMembers, ticket::Protocol::kCoap));
  }

  void Step(std::uint64_t round) {
    const auto now = kStart + std::chrono::milliseconds(round);
    const auto message = mutator_.Mutate(MakeMessage(mutator_));
    PassMutatedFrame(message, now);
    PassValidFrame(message, now);
    const auto slot =
        flow::FlowSlot(static_cast<std::uint32_t>(mutator_.Below(8)));
    sidecar_->OnUpstreamDatagram(slot, message, now, to_sidecar_);
    if (round % 64 == 0) sidecar_->OnTick(now, to_sidecar_);
    to_sidecar_.Clear();
    to_balancer_.Clear();
  }
  std::uint64_t accepted() const { return accepted_; }
  std::uint64_t rejected() const { return rejected_; }

 private:
  /// Passes a frame that was mutated after it was sealed. It must not decode,
  /// since its message authentication code no longer matches.
  void PassMutatedFrame(const Bytes& message, TimePoint now) {
    auto valid =
        codec_->EncodeDatagram(MakeHeader(mutator_), Truncate(message));
    const auto mutated = mutator_.Mutate(valid);
    Pass(mutated, now);
    if (mutated != valid && decoded_) {
      std::cerr << "a mutated frame was decoded\n";
      std::abort();
    }
  }
  /// Passes a frame with a valid message authentication code around a mutated
  /// message.
  void PassValidFrame(const Bytes& message, TimePoint now) {
    Pass(codec_->EncodeDatagram(MakeHeader(mutator_), Truncate(message)), now);
  }
  static Bytes Truncate(Bytes message) {
    message.resize(std::min(message.size(), link::kMaxPayloadBytes));
    return message;
  }
  void Pass(const Bytes& datagram, TimePoint now) {
    LastReason<link::LinkError> reason;
    const auto frame = codec_->Decode(datagram, reason);
    decoded_ = frame.has_value();
    ++(decoded_ ? accepted_ : rejected_);
    if (!frame) return;
    sidecar_->OnFrame(*frame, kCaller, now, to_sidecar_);
    balancer_->OnFrame(*frame, kCaller, now, to_balancer_);
  }

  fuzz::Mutator mutator_;
  std::optional<engine::Sidecar> sidecar_;
  std::optional<engine::Balancer> balancer_;
  std::optional<link::FrameCodec> codec_;
  engine::SidecarEffects to_sidecar_;
  engine::BalancerEffects to_balancer_;
  bool decoded_ = false;
  std::uint64_t accepted_ = 0;
  std::uint64_t rejected_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  const auto seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
  const auto inputs =
      static_cast<std::uint64_t>(arguments["--inputs"].asLong());
  Target target(seed);
  for (std::uint64_t round = 0; round < inputs; ++round) target.Step(round);
  std::cout << "seed=" << seed << " inputs=" << inputs
            << " frames_taken=" << target.accepted()
            << " frames_refused=" << target.rejected() << "\n";
}
