#pragma once

#include <string_view>

namespace cowslip::ticket {

/// Reasons for which a ticket is rejected.
enum class TicketError {
  kOk,
  kSyntax,
  kUnknownKey,
  kMissingKey,
  kWrongType,
  kOutOfRange,
  kDuplicate,
  kUnknownService,
  kNumberNotNext,
  kTooLarge,
};

/// @return one sentence that explains the error to an operator.
std::string_view ErrorMessage(TicketError error);

}  // namespace cowslip::ticket
