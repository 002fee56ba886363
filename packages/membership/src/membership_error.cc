#include "cowslip/membership/membership_error.h"

namespace cowslip::membership {

std::string_view ErrorMessage(MembershipError error) {
  switch (error) {
    case MembershipError::kOk:
      return "ok";
    case MembershipError::kBadAnnouncement:
      return "the announcement in the store is malformed";
    case MembershipError::kSuperseded:
      return "another process has claimed a newer incarnation of the upstream";
    case MembershipError::kStoreUnavailable:
      return "the store did not answer";
    case MembershipError::kBadOptions:
      return "an option is out of range";
  }
  return "unknown error";
}

}  // namespace cowslip::membership
