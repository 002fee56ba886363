// Feeds damaged packets, frames, messages, heartbeats and configurations to
// what the adapter reads. Any crash ends the program; the summary counts what
// was taken and refused.

#include <docopt/docopt.h>

#include <iostream>
#include <string>

#include "cowslip/peers.h"
#include "cowslip/segment.h"
#include "mutator.h"
#include "platform/heartbeat.h"
#include "platform/packet_header.h"
#include "platform/route_document.h"

namespace {

using namespace cowslip;  // NOLINT(google-build-using-namespace)
using platform_adapter::AdapterError;

constexpr char kUsage[] =
    R"(Fuzzes what the adapter to the platform reads.

Usage:
  adapter_fuzz [--seed N] [--inputs N]

Options:
  --seed N    Seed of all choices [default: 1].
  --inputs N  Inputs to try [default: 20000].
)";

/// What was taken and refused.
struct Tally {
  std::uint64_t taken = 0;
  std::uint64_t refused = 0;

  template <typename Result>
  void Count(const Result& result) {
    result ? ++taken : ++refused;
  }
};

Bytes DamagedBytes(const std::string& text, fuzz::Mutator& mutator) {
  return mutator.Mutate({text.begin(), text.end()});
}

std::string DamagedText(const std::string& text, fuzz::Mutator& mutator) {
  const auto bytes = DamagedBytes(text, mutator);
  return {bytes.begin(), bytes.end()};
}

std::string MakeFrame() {
  segment::SegmentFrame frame;
  frame.hop_count = 4;
  Bytes wire;
  segment::AppendSegmentFrame(frame, Bytes(40, 0), wire);
  return {wire.begin(), wire.end()};
}

std::string MakeOwnerQuery() {
  segment::OwnerQuery query;
  for (int i = 0; i < 3; ++i) query.Add({});
  Bytes wire;
  segment::AppendOwnerQuery(query, wire);
  return {wire.begin(), wire.end()};
}

std::string MakeOwnerReply() {
  segment::OwnerReply reply;
  reply.flow_count = 3;
  reply.owned = 1;
  Bytes wire;
  segment::AppendOwnerReply(reply, wire);
  return {wire.begin(), wire.end()};
}

std::string MakeMessage() {
  peers::Message message;
  message.entries.resize(3);
  for (auto& entry : message.entries) entry.service = "vault";
  const auto wire = peers::Encode(message);
  return {wire.begin(), wire.end()};
}

void TryOne(fuzz::Mutator& mutator, Tally& tally) {
  static const std::string kFrame = MakeFrame();
  static const std::string kOwnerQuery = MakeOwnerQuery();
  static const std::string kOwnerReply = MakeOwnerReply();
  static const std::string kMessage = MakeMessage();
  static const std::string kHeartbeat =
      R"({"service":"vault","address":"10.1.0.9:81","zone":"z","version":"1",)"
      R"("capacity":2,"state":"ready","warmupLeftMs":2,"seq":4,"born":17})";
  static const std::string kRoutes =
      R"({"version":7,"routes":[{"host":"198.18.0.1","prefix":"/443/",)"
      R"("split":[{"service":"a","weight":9}]}],"services":[]})";
  LastReason<AdapterError> reason;
  const auto frame = DamagedBytes(kFrame, mutator);
  ByteView packet;
  tally.Count(segment::DecodeSegmentFrame(frame, packet));
  tally.Count(segment::DecodeAck(frame));
  tally.Count(segment::DecodeOwnerQuery(DamagedBytes(kOwnerQuery, mutator)));
  tally.Count(segment::DecodeOwnerReply(DamagedBytes(kOwnerReply, mutator)));
  tally.Count(platform_adapter::DecodePacketHeader(
      frame, platform_adapter::PacketSender::kUpstream));
  tally.Count(peers::Decode(DamagedBytes(kMessage, mutator)));
  tally.Count(platform_adapter::ParseHeartbeat(
      "i", DamagedText(kHeartbeat, mutator), std::chrono::milliseconds(9000),
      reason));
  tally.Count(platform_adapter::ParseRouteDocument(
      DamagedText(kRoutes, mutator), reason));
}

}  // namespace

int main(int argc, char** argv) {
  const auto options =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, /*help=*/true);
  fuzz::Mutator mutator(
      static_cast<std::uint64_t>(options.at("--seed").asLong()));
  const auto inputs = options.at("--inputs").asLong();
  Tally tally;
  for (long i = 0; i < inputs; ++i) TryOne(mutator, tally);
  std::cout << "taken " << tally.taken << ", refused " << tally.refused << '\n';
}
