#include "cowslip/membership/membership_error.h"

namespace cowslip::membership {

std::string_view ErrorMessage(MembershipError error) {
  switch (error) {
    case MembershipError::kOk:
      return "ok";
    case MembershipError::kBadAnnouncement:
      return "the announcement can't be read";
    case MembershipError::kSuperseded:
      return "a newer incarnation of the upstream is announced";
    case MembershipError::kStoreUnavailable:
      return "the store doesn't answer";
    case MembershipError::kBadOptions:
      return "the options are unusable";
  }
  return "unknown error";
}

}  // namespace cowslip::membership
