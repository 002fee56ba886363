#include "cowslip/segment/frame.h"

#include <algorithm>
#include <cstring>

#include "frame_generated.h"
#include "response_codec.h"
#include "wire_codec.h"

namespace cowslip::segment {
namespace {

/// @return the field of a frame: 0 stands for no time.
std::uint16_t EncodeTime(std::optional<std::chrono::milliseconds> time) {
  if (!time) return 0;
  return static_cast<std::uint16_t>(
      std::clamp<std::int64_t>(time->count(), 1, UINT16_MAX));
}

std::optional<std::chrono::milliseconds> DecodeTime(std::uint16_t field) {
  if (field == 0) return std::nullopt;
  return std::chrono::milliseconds(field);
}

/// Reads what precedes a segment frame, and removes it from the datagram.
void TakePrefix(ByteView& datagram, SegmentFrame& frame) {
  const auto kind = KindOf(datagram);
  if (kind == FrameKind::kClassifiedSegment) {
    const auto raw = ReadRaw<wire::ClassPrefix>(datagram);
    if (!raw) return;
    frame.request =
        RequestClass{raw->priority(), DecodeTime(raw->time_limit_ms())};
    datagram = datagram.subspan(sizeof *raw);
  } else if (kind == FrameKind::kLimitedSegment) {
    const auto raw = ReadRaw<wire::LimitPrefix>(datagram);
    if (!raw) return;
    const RequestClass request{raw->priority(),
                               DecodeTime(raw->time_limit_ms())};
    if (request != RequestClass{}) frame.request = request;
    frame.warm_up_limit =
        scheduling::RequestRate::FromThousandths(raw->warm_up_limit());
    datagram = datagram.subspan(sizeof *raw);
  }
}

/// Writes what precedes a segment frame.
void AppendPrefix(const SegmentFrame& frame, Bytes& out) {
  const auto request = frame.request.value_or(RequestClass{});
  if (frame.warm_up_limit) {
    AppendRaw(wire::LimitPrefix(
                  kMagic, static_cast<std::uint8_t>(FrameKind::kLimitedSegment),
                  request.priority, EncodeTime(request.time_limit),
                  frame.warm_up_limit->thousandths()),
              out);
  } else if (frame.request) {
    AppendRaw(
        wire::ClassPrefix(
            kMagic, static_cast<std::uint8_t>(FrameKind::kClassifiedSegment),
            request.priority, EncodeTime(request.time_limit)),
        out);
  }
}

}  // namespace

std::optional<FrameKind> KindOf(ByteView datagram) {
  constexpr std::size_t kPrefix = 5;
  if (datagram.size() < kPrefix) return std::nullopt;
  std::uint32_t magic = 0;
  std::memcpy(&magic, datagram.data(), sizeof magic);
  const auto kind = datagram[4];
  if (flatbuffers::EndianScalar(magic) != kMagic) return std::nullopt;
  if (kind < 1 ||
      kind > static_cast<std::uint8_t>(FrameKind::kLimitedSegment)) {
    return std::nullopt;
  }
  return static_cast<FrameKind>(kind);
}

std::optional<SegmentFrame> DecodeSegmentFrame(ByteView datagram,
                                               ByteView& packet) {
  SegmentFrame frame;
  TakePrefix(datagram, frame);
  const auto raw = ReadRaw<wire::SegmentFrame>(datagram);
  if (!raw || raw->magic() != kMagic || raw->hop_count() == 0 ||
      raw->hop_count() > kMaxHops || raw->place() >= raw->hop_count() ||
      raw->best_place() >= raw->hop_count()) {
    return std::nullopt;
  }
  const std::size_t hop_bytes = raw->hop_count() * sizeof(InstanceAddress);
  auto rest = datagram.subspan(sizeof(wire::SegmentFrame));
  if (rest.size() < hop_bytes) return std::nullopt;
  frame.config = raw->config();
  frame.service = ServiceTag{raw->service()};
  frame.balancer = raw->balancer();
  frame.place = raw->place();
  frame.hop_count = raw->hop_count();
  frame.asked = raw->asked();
  frame.forced = raw->forced() != 0;
  frame.inconclusive = raw->inconclusive() != 0;
  frame.searched = raw->searched() != 0;
  frame.other_service = raw->other_service() != 0;
  frame.overloaded = raw->overloaded() != 0;
  frame.time_left = DecodeTime(raw->time_left_ms());
  frame.best_wait_us = raw->best_wait();
  frame.best_place = raw->best_place();
  for (std::size_t i = 0; i < frame.hop_count; ++i) {
    std::memcpy(&frame.hops[i], rest.data() + i * sizeof(InstanceAddress),
                sizeof(InstanceAddress));
    frame.hops[i] = flatbuffers::EndianScalar(frame.hops[i]);
  }
  packet = rest.subspan(hop_bytes);
  return frame;
}

std::optional<Ack> DecodeAck(ByteView datagram) {
  const auto raw = ReadRaw<wire::Receipt>(datagram);
  if (!raw || raw->magic() != kMagic ||
      raw->verdict() > static_cast<std::uint8_t>(AckStatus::kProbeReply)) {
    return std::nullopt;
  }
  Ack ack;
  ack.verdict = static_cast<AckStatus>(raw->verdict());
  ack.syn = raw->syn() != 0;
  ack.open = raw->open() != 0;
  ack.config = raw->config();
  ack.expected_wait_us = raw->expected_wait();
  ack.flow = {{raw->caller_address(), raw->caller_port()},
              {raw->service_address(), raw->service_port()}};
  ack.caller_ack = raw->caller_ack();
  ack.next = raw->next();
  ack.free_slots = raw->free_slots();
  ack.overloaded = raw->overloaded() != 0;
  ack.evacuated = raw->evacuated() != 0;
  ack.responses = DecodeResponses({raw->good_run(), raw->failures(),
                                   raw->failure_share(), raw->response_time()});
  return ack;
}

void AppendSegmentFrame(const SegmentFrame& frame, ByteView packet,
                        Bytes& out) {
  AppendPrefix(frame, out);
  AppendRaw(wire::SegmentFrame(
                kMagic, static_cast<std::uint8_t>(FrameKind::kSegment),
                frame.place, frame.hop_count, frame.asked, frame.config,
                static_cast<std::uint64_t>(frame.service), frame.balancer,
                frame.best_wait_us, frame.best_place, frame.forced ? 1 : 0,
                frame.inconclusive ? 1 : 0, frame.searched ? 1 : 0,
                frame.other_service ? 1 : 0, frame.overloaded ? 1 : 0,
                EncodeTime(frame.time_left)),
            out);
  for (std::size_t i = 0; i < frame.hop_count; ++i) {
    AppendRaw(flatbuffers::EndianScalar(frame.hops[i]), out);
  }
  out.insert(out.end(), packet.begin(), packet.end());
}

void AppendAck(const Ack& ack, Bytes& out) {
  EncodedResponses responses;
  if (ack.responses) responses = EncodeResponses(*ack.responses);
  AppendRaw(wire::Receipt(
                kMagic, static_cast<std::uint8_t>(FrameKind::kReceipt),
                static_cast<std::uint8_t>(ack.verdict), ack.syn ? 1 : 0,
                ack.open ? 1 : 0, ack.config, ack.expected_wait_us,
                ack.flow.caller.address, ack.flow.service.address,
                ack.flow.caller.port, ack.flow.service.port, ack.caller_ack,
                ack.next, ack.free_slots, ack.overloaded ? 1 : 0,
                ack.evacuated ? 1 : 0, responses.good_run, responses.failures,
                responses.failure_share, responses.response_time),
            out);
}

void AppendProbe(Bytes& out) {
  AppendRaw(flatbuffers::EndianScalar(kMagic), out);
  out.push_back(static_cast<std::uint8_t>(FrameKind::kProbe));
}

}  // namespace cowslip::segment
