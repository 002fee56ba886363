#include "cowslip/link/frame_codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <charconv>
#include <cstring>

#include "frame_generated.h"

namespace cowslip::link {
namespace {

static_assert(sizeof(wire::Header) == kFrameHeaderBytes);

constexpr std::uint32_t kMagic = 0x43574c31;

wire::Header ToWire(const FrameHeader& header, std::size_t payload_size) {
  std::array<std::uint32_t, VisitedList::kCapacity> visited{};
  const auto ids = header.visited.ids();
  std::transform(ids.begin(), ids.end(), visited.begin(),
                 [](UpstreamId id) { return Raw(id); });
  return {kMagic,
          static_cast<std::uint8_t>(header.kind),
          header.flags,
          static_cast<std::uint8_t>(ids.size()),
          static_cast<std::uint8_t>(header.visited.unresponsive_count()),
          Raw(header.service),
          header.sender,
          Raw(header.ticket),
          Raw(header.incarnation),
          header.sequence,
          header.flow.caller.address,
          header.flow.service.address,
          header.balancer.address,
          header.flow.caller.port,
          header.flow.service.port,
          header.balancer.port,
          static_cast<std::uint16_t>(payload_size),
          flatbuffers::make_span(visited),
          Raw(header.least_loaded.upstream),
          header.least_loaded.expected_wait_us,
          header.service_time_us};
}

FrameHeader FromWire(const wire::Header& wire) {
  FrameHeader header;
  header.kind = static_cast<FrameKind>(wire.kind());
  header.flags = wire.flags();
  header.service = ServiceId(wire.service());
  header.ticket = TicketNumber(wire.ticket());
  header.sender = wire.sender();
  header.incarnation = Incarnation(wire.incarnation());
  header.flow = {{wire.caller_address(), wire.caller_port()},
                 {wire.service_address(), wire.service_port()}};
  header.balancer = {wire.balancer_address(), wire.balancer_port()};
  header.sequence = wire.sequence();
  for (std::uint8_t i = 0; i < wire.visited_count(); ++i) {
    const auto id = UpstreamId(wire.visited()->Get(i));
    if (i < wire.silent_count()) {
      header.visited.AddUnresponsive(id);
    } else {
      header.visited.Add(id);
    }
  }
  header.least_loaded = {UpstreamId(wire.least_queued()), wire.least_queue()};
  header.service_time_us = wire.service_time();
  return header;
}

bool FieldsInRange(const wire::Header& wire) {
  return wire.kind() >= 1 &&
         wire.kind() <= static_cast<std::uint8_t>(kLastFrameKind) &&
         wire.visited_count() <= VisitedList::kCapacity &&
         wire.silent_count() <= wire.visited_count() &&
         wire.payload_size() <= kMaxPayloadBytes;
}

}  // namespace

std::optional<FrameKey> ParseFrameKey(std::string_view hex,
                                      LastReason<LinkError>& reason) {
  constexpr int kHexadecimal = 16;
  FrameKey key{};
  bool valid = hex.size() == 2 * key.size();
  for (std::size_t i = 0; valid && i < key.size(); ++i) {
    const auto* digits = hex.data() + 2 * i;
    const auto [end, error] =
        std::from_chars(digits, digits + 2, key[i], kHexadecimal);
    valid = error == std::errc{} && end == digits + 2;
  }
  if (valid) return key;
  reason.Set(LinkError::kBadKey);
  return std::nullopt;
}

void FrameCodec::MacContextFree::operator()(evp_mac_ctx_st* context) const {
  EVP_MAC_CTX_free(context);
}

FrameCodec::FrameCodec(const FrameKey& key, evp_mac_ctx_st* context)
    : key_(key), context_(context) {}

std::optional<FrameCodec> FrameCodec::Create(const FrameKey& key,
                                             LastReason<LinkError>& reason) {
  EVP_MAC* mac = EVP_MAC_fetch(nullptr, "SIPHASH", nullptr);
  EVP_MAC_CTX* context = mac == nullptr ? nullptr : EVP_MAC_CTX_new(mac);
  EVP_MAC_free(mac);
  if (context != nullptr) return FrameCodec(key, context);
  reason.Set(LinkError::kBadKey, "SipHash is not available");
  return std::nullopt;
}

FrameMac FrameCodec::Authenticate(ByteView header, ByteView payload) {
  FrameMac code{};
  std::size_t size = 0;
  auto* context = context_.get();
  EVP_MAC_init(context, key_.data(), key_.size(), nullptr);
  EVP_MAC_update(context, header.data(), header.size());
  EVP_MAC_update(context, payload.data(), payload.size());
  EVP_MAC_final(context, code.data(), &size, code.size());
  return code;
}

void FrameCodec::Encode(const FrameHeader& header, ByteView payload,
                        EncodedHeader& encoded, FrameMac& mac) {
  const auto wire = ToWire(header, payload.size());
  std::memcpy(encoded.data(), &wire, sizeof wire);
  mac = Authenticate(encoded, payload);
}

Bytes FrameCodec::EncodeDatagram(const FrameHeader& header, ByteView payload) {
  EncodedHeader encoded;
  FrameMac mac;
  Encode(header, payload, encoded, mac);
  Bytes datagram;
  datagram.reserve(kFrameHeaderBytes + payload.size() + kFrameMacBytes);
  datagram.insert(datagram.end(), encoded.begin(), encoded.end());
  datagram.insert(datagram.end(), payload.begin(), payload.end());
  datagram.insert(datagram.end(), mac.begin(), mac.end());
  return datagram;
}

std::optional<Frame> FrameCodec::Decode(ByteView datagram,
                                        LastReason<LinkError>& reason) {
  if (datagram.size() < kFrameHeaderBytes + kFrameMacBytes) {
    reason.Set(LinkError::kTruncated);
    return std::nullopt;
  }
  wire::Header wire;
  std::memcpy(&wire, datagram.data(), sizeof wire);
  if (wire.magic() != kMagic) {
    reason.Set(LinkError::kBadMagic);
    return std::nullopt;
  }
  const std::size_t size =
      kFrameHeaderBytes + wire.payload_size() + kFrameMacBytes;
  if (datagram.size() != size) {
    reason.Set(LinkError::kTruncated);
    return std::nullopt;
  }
  const auto payload = datagram.subspan(kFrameHeaderBytes, wire.payload_size());
  const auto expected =
      Authenticate(datagram.first(kFrameHeaderBytes), payload);
  if (CRYPTO_memcmp(expected.data(), datagram.last(kFrameMacBytes).data(),
                    kFrameMacBytes) != 0) {
    reason.Set(LinkError::kBadMac);
    return std::nullopt;
  }
  if (!FieldsInRange(wire)) {
    reason.Set(LinkError::kFieldOutOfRange);
    return std::nullopt;
  }
  return Frame{FromWire(wire), payload};
}

}  // namespace cowslip::link
