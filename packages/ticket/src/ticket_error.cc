#include "cowslip/ticket/ticket_error.h"

namespace cowslip::ticket {

std::string_view ErrorMessage(TicketError error) {
  switch (error) {
    case TicketError::kOk:
      return "ok";
    case TicketError::kSyntax:
      return "the text is not valid YAML";
    case TicketError::kUnknownKey:
      return "the key is unknown";
    case TicketError::kMissingKey:
      return "a required key is missing";
    case TicketError::kWrongType:
      return "the value has the wrong type";
    case TicketError::kOutOfRange:
      return "the value is out of range";
    case TicketError::kDuplicate:
      return "the value is already in use";
    case TicketError::kUnknownService:
      return "there is no such service";
    case TicketError::kNumberNotNext:
      return "the ticket number is not the next one";
    case TicketError::kTooLarge:
      return "the configuration would exceed the size limit";
  }
  return "unknown error";
}

}  // namespace cowslip::ticket
