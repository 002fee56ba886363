#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "cowslip/base.h"
#include "cowslip/permit/permit.h"

namespace cowslip::permit {

/// Secret key of the authentication code of permits. Each incarnation generates
/// one at its start and never stores it.
using PermitKey = std::array<std::uint8_t, 32>;

/// Issues and verifies the permits of one incarnation.
class PermitIssuer {
 public:
  /// Time after the challenge within which the caller must repeat its request.
  static constexpr std::chrono::milliseconds kLifetime{1900};

  PermitIssuer(UpstreamId upstream, Incarnation incarnation,
               const PermitKey& key)
      : upstream_(upstream), incarnation_(incarnation), key_(key) {}

  /// Issues a permit with the next number.
  /// @param flow the only flow for which the permit is valid.
  /// @return the value of the Echo option.
  Bytes Issue(const FlowKey& flow, TimePoint now);

  /// Verifies the authentication code of a permit, but not its expiry.
  /// @return the permit if this incarnation issued it for the flow.
  std::optional<Permit> Verify(ByteView echo, const FlowKey& flow,
                               LastReason<PermitError>& reason) const;

  /// @return whether the permit claims to be from this incarnation.
  bool Issued(const Permit& permit) const {
    return permit.upstream == upstream_ && permit.incarnation == incarnation_;
  }

 private:
  using AuthCode = std::array<std::uint8_t, 12>;
  AuthCode ComputeAuthCode(ByteView fields, const FlowKey& flow) const;

  UpstreamId upstream_;
  Incarnation incarnation_;
  PermitKey key_;
  std::uint64_t last_number_ = 0;
};

}  // namespace cowslip::permit
