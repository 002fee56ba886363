#include "cowslip/permit/permit_issuer.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <cstring>

namespace cowslip::permit {
namespace {

/// The authenticated fields of an encoded permit. They are followed by the
/// authentication code.
struct Fields {
  std::uint64_t incarnation;
  std::uint64_t number;
  std::int64_t expires_us;
  std::uint32_t upstream;
};
constexpr std::size_t kFieldBytes = 28;
constexpr std::size_t kCodeBytes = 12;
static_assert(kFieldBytes + kCodeBytes == kPermitBytes);

using std::chrono::microseconds;

std::int64_t ToMicroseconds(TimePoint time) {
  return std::chrono::duration_cast<microseconds>(time.time_since_epoch())
      .count();
}

Bytes EncodeFields(const Permit& permit) {
  const Fields fields{Raw(permit.incarnation), Raw(permit.number),
                      ToMicroseconds(permit.expires), Raw(permit.upstream)};
  Bytes bytes(kFieldBytes);
  std::memcpy(bytes.data(), &fields, kFieldBytes);
  return bytes;
}

}  // namespace

std::optional<Permit> DecodePermit(ByteView echo,
                                   LastReason<PermitError>& reason) {
  if (echo.size() != kPermitBytes) {
    reason.Set(PermitError::kMalformed);
    return std::nullopt;
  }
  Fields fields{};
  std::memcpy(&fields, echo.data(), kFieldBytes);
  return Permit{UpstreamId(fields.upstream), Incarnation(fields.incarnation),
                PermitNumber(fields.number),
                TimePoint(microseconds(fields.expires_us))};
}

PermitIssuer::AuthCode PermitIssuer::ComputeAuthCode(
    ByteView fields, const FlowKey& flow) const {
  Bytes input(fields.begin(), fields.end());
  const std::array<std::uint32_t, 4> words{
      flow.caller.address, flow.caller.port, flow.service.address,
      flow.service.port};
  const auto start = input.size();
  input.resize(start + sizeof words);
  std::memcpy(&input[start], words.data(), sizeof words);
  std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()), input.data(),
       input.size(), digest.data(), &size);
  AuthCode code{};
  std::copy_n(digest.begin(), code.size(), code.begin());
  return code;
}

Bytes PermitIssuer::Issue(const FlowKey& flow, TimePoint now) {
  const Permit permit{upstream_, incarnation_, PermitNumber(++last_number_),
                      now + kLifetime};
  auto echo = EncodeFields(permit);
  const auto code = ComputeAuthCode(echo, flow);
  echo.insert(echo.end(), code.begin(), code.end());
  return echo;
}

std::optional<Permit> PermitIssuer::Verify(
    ByteView echo, const FlowKey& flow, LastReason<PermitError>& reason) const {
  const auto permit = DecodePermit(echo, reason);
  if (!permit) return std::nullopt;
  const auto code = ComputeAuthCode(echo.first(kFieldBytes), flow);
  const bool is_genuine =
      CRYPTO_memcmp(code.data(), echo.last(kCodeBytes).data(), kCodeBytes) == 0;
  if (is_genuine && Issued(*permit)) return permit;
  reason.Set(PermitError::kForged);
  return std::nullopt;
}

}  // namespace cowslip::permit
