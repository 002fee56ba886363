#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "cowslip/base.h"
#include "cowslip/link/frame.h"
#include "cowslip/link/link_error.h"

struct evp_mac_ctx_st;

namespace cowslip::link {

/// Size of the encoded header in bytes.
inline constexpr std::size_t kFrameHeaderBytes = 104;
/// Size of the authentication code that ends a frame, in bytes.
inline constexpr std::size_t kFrameMacBytes = 16;
/// Largest payload of a frame, in bytes.
inline constexpr std::size_t kMaxPayloadBytes = 2048;
/// Largest frame, in bytes.
inline constexpr std::size_t kMaxFrameBytes =
    kFrameHeaderBytes + kMaxPayloadBytes + kFrameMacBytes;

/// Secret that all processes of a deployment share; authenticates frames and
/// streams.
using FrameKey = std::array<std::uint8_t, 16>;
/// A frame header as it is sent.
using EncodedHeader = std::array<std::uint8_t, kFrameHeaderBytes>;
/// Authentication code of a frame.
using FrameMac = std::array<std::uint8_t, kFrameMacBytes>;

/// @param hex 32 hexadecimal digits.
std::optional<FrameKey> ParseFrameKey(std::string_view hex,
                                      LastReason<LinkError>& reason);

/// Encodes and authenticates frames with SipHash-2-4-128 under a shared key.
///
/// Not thread-safe: every traffic thread has its own codec.
class FrameCodec {
 public:
  static std::optional<FrameCodec> Create(const FrameKey& key,
                                          LastReason<LinkError>& reason);

  /// Encodes the header and computes the code over header and payload. The
  /// payload isn't copied. Requires payload.size() <= kMaxPayloadBytes.
  void Encode(const FrameHeader& header, ByteView payload,
              EncodedHeader& encoded, FrameMac& mac);

  /// @return a complete frame in one buffer. It copies the payload, so it isn't
  ///     for the hot path.
  Bytes EncodeDatagram(const FrameHeader& header, ByteView payload);

  /// @return the frame, or std::nullopt if the datagram has a wrong size, magic
  ///     number, authentication code or field.
  std::optional<Frame> Decode(ByteView datagram, LastReason<LinkError>& reason);

 private:
  struct MacContextFree {
    void operator()(evp_mac_ctx_st* context) const;
  };

  FrameCodec(const FrameKey& key, evp_mac_ctx_st* context);
  FrameMac Authenticate(ByteView header, ByteView payload);

  FrameKey key_;
  std::unique_ptr<evp_mac_ctx_st, MacContextFree> context_;
};

}  // namespace cowslip::link
