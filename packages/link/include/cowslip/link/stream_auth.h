#pragma once

#include <string>
#include <string_view>

#include "cowslip/link/frame_codec.h"

namespace cowslip::link {

/// The end of a stream that proves possession of the frame key.
enum class StreamRole { kClient, kServer };

/// @return a nonce of 128 random bits, in hexadecimal.
std::string MakeNonce();

/// @return the proof of one end: HMAC-SHA-256 under the frame key over the name
///     of the end and both nonces, in hexadecimal.
std::string ComputeKeyProof(const FrameKey& key, StreamRole end,
                            std::string_view server_nonce,
                            std::string_view client_nonce);

/// Compares two proofs in a time that doesn't depend on their contents.
bool ProofsEqual(std::string_view a, std::string_view b);

}  // namespace cowslip::link
