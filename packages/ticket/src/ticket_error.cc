#include "cowslip/ticket/ticket_error.h"

namespace cowslip::ticket {

std::string_view ErrorMessage(TicketError error) {
  switch (error) {
    case TicketError::kOk:
      return "ok";
    case TicketError::kSyntax:
      return "the text is not valid YAML";
    case TicketError::kUnknownKey:
      return "the key is not known";
    case TicketError::kMissingKey:
      return "a required key is missing";
    case TicketError::kWrongType:
      return "the value has the wrong type";
    case TicketError::kOutOfRange:
      return "the value is out of range";
    case TicketError::kDuplicate:
      return "the value is used twice";
    case TicketError::kUnknownService:
      return "the service is not known";
    case TicketError::kNumberNotNext:
      return "the number does not follow the ticket in force";
    case TicketError::kTooLarge:
      return "the folded state exceeds the size limit";
  }
  return "unknown error";
}

}  // namespace cowslip::ticket
