// Time to encode and decode a frame, and to parse a CoAP message.

#include <benchmark/benchmark.h>

#include "cowslip/coap.h"
#include "cowslip/link.h"

namespace {

using namespace cowslip;  // NOLINT(google-build-using-namespace)

link::FrameCodec MakeCodec() {
  LastReason<link::LinkError> reason;
  return std::move(*link::FrameCodec::Create(link::FrameKey{1, 2, 3}, reason));
}

void EncodeFrame(benchmark::State& state) {
  auto codec = MakeCodec();
  const Bytes payload(static_cast<std::size_t>(state.range(0)));
  const link::FrameHeader header;
  link::EncodedHeader encoded;
  link::FrameMac mac;
  while (state.KeepRunning()) {
    codec.Encode(header, payload, encoded, mac);
    benchmark::DoNotOptimize(mac);
  }
}
BENCHMARK(EncodeFrame)->ArgName("payload_bytes")->Arg(64)->Arg(1100);

void DecodeFrame(benchmark::State& state) {
  auto codec = MakeCodec();
  const Bytes payload(static_cast<std::size_t>(state.range(0)));
  const auto datagram = codec.EncodeDatagram(link::FrameHeader{}, payload);
  LastReason<link::LinkError> reason;
  while (state.KeepRunning()) {
    auto frame = codec.Decode(datagram, reason);
    benchmark::DoNotOptimize(frame);
  }
}
BENCHMARK(DecodeFrame)->ArgName("payload_bytes")->Arg(64)->Arg(1100);

void ParseCoap(benchmark::State& state) {
  coap::Message message;
  message.code = coap::Code::kPost;
  message.token = {1, 2, 3, 4};
  message.SetOption(coap::OptionNumber::kUriPath, {'s', 'e', 'a', 'l'});
  message.SetOption(coap::OptionNumber::kEcho, Bytes(40));
  message.payload = Bytes(64);
  LastReason<coap::CoapError> reason;
  const auto datagram = coap::Encode(message, reason);
  while (state.KeepRunning()) {
    auto parsed = coap::Parse(*datagram, reason);
    benchmark::DoNotOptimize(parsed);
  }
}
BENCHMARK(ParseCoap);

}  // namespace

BENCHMARK_MAIN();
