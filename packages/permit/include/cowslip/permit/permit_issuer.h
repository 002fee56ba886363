#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "cowslip/base.h"
#include "cowslip/permit/permit.h"

namespace cowslip::permit {

/// A key that one incarnation draws at its start and never stores.
using PermitKey = std::array<std::uint8_t, 32>;

/// Issues and verifies the permits of one incarnation.
class PermitIssuer {
 public:
  /// Time from the challenge within which the caller must come back.
  static constexpr std::chrono::milliseconds kLifetime{1900};

  PermitIssuer(UpstreamId upstream, Incarnation incarnation,
               const PermitKey& key)
      : upstream_(upstream), incarnation_(incarnation), key_(key) {}

  /// @param flow the permit is valid for this flow only.
  /// @return the value of the Echo option; permits are numbered in sequence.
  Bytes Issue(const FlowKey& flow, TimePoint now);

  /// @return the permit if this incarnation issued it for the flow, whether or
  ///     not it has expired.
  std::optional<Permit> Verify(ByteView echo, const FlowKey& flow,
                               LastReason<PermitError>& reason) const;

  /// @return whether the permit names this incarnation.
  bool Names(const Permit& permit) const {
    return permit.upstream == upstream_ && permit.incarnation == incarnation_;
  }

 private:
  using Code = std::array<std::uint8_t, 12>;
  Code Authenticate(ByteView fields, const FlowKey& flow) const;

  UpstreamId upstream_;
  Incarnation incarnation_;
  PermitKey key_;
  std::uint64_t issued_ = 0;
};

}  // namespace cowslip::permit
