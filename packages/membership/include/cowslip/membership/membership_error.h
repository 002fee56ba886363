#pragma once

#include <string_view>

namespace cowslip::membership {

enum class MembershipError {
  kOk,
  kBadAnnouncement,
  kSuperseded,
  kStoreUnavailable,
  kBadOptions,
};

/// @return one sentence for operators.
std::string_view ErrorMessage(MembershipError error);

}  // namespace cowslip::membership
