#pragma once

#include <string_view>

namespace cowslip::ticket {

/// Reasons for which a ticket is refused.
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

/// @return one sentence for operators.
std::string_view ErrorMessage(TicketError error);

}  // namespace cowslip::ticket
