#pragma once

#include <string>
#include <string_view>

#include "cowslip/link/frame_codec.h"

namespace cowslip::link {

/// Which end of a stream proves that it holds the frame key.
enum class StreamRole { kClient, kServer };

/// @return 128 random bits in hexadecimal.
std::string MakeNonce();

/// @return HMAC-SHA-256 under the frame key over the end's name and both
///     nonces, in hexadecimal.
std::string ComputeKeyProof(const FrameKey& key, StreamRole end,
                            std::string_view server_nonce,
                            std::string_view client_nonce);

/// Compares in a time that doesn't depend on the contents.
bool ProofsEqual(std::string_view a, std::string_view b);

}  // namespace cowslip::link
