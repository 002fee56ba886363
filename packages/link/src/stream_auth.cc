#include "cowslip/link/stream_auth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <span>

namespace cowslip::link {
namespace {

constexpr std::size_t kNonceBytes = 16;

std::string ToHex(std::span<const std::uint8_t> bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (const auto byte : bytes) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 0xf];
  }
  return hex;
}

}  // namespace

std::string MakeNonce() {
  std::array<std::uint8_t, kNonceBytes> nonce{};
  RAND_bytes(nonce.data(), static_cast<int>(nonce.size()));
  return ToHex(nonce);
}

std::string ComputeKeyProof(const FrameKey& key, StreamRole end,
                            std::string_view server_nonce,
                            std::string_view client_nonce) {
  std::string text =
      end == StreamRole::kClient ? "cowslip client\n" : "cowslip server\n";
  text.append(server_nonce).append("\n").append(client_nonce);
  std::array<std::uint8_t, EVP_MAX_MD_SIZE> code{};
  unsigned size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const std::uint8_t*>(text.data()), text.size(),
       code.data(), &size);
  return ToHex(std::span(code).first(size));
}

bool ProofsEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace cowslip::link
