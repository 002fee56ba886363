#pragma once

#include <string_view>

namespace cowslip::membership {

/// Reasons for which an operation of the membership library failed.
enum class MembershipError {
  kOk,
  kBadAnnouncement,
  kSuperseded,
  kStoreUnavailable,
  kBadOptions,
};

/// @return one sentence that explains the error to an operator.
std::string_view ErrorMessage(MembershipError error);

}  // namespace cowslip::membership
