#include "cowslip/engine/engine_error.h"

namespace cowslip::engine {

std::string_view ErrorMessage(EngineError error) {
  switch (error) {
    case EngineError::kOk:
      return "ok";
    case EngineError::kBadOptions:
      return "an option is out of range";
  }
  return "unknown error";
}

}  // namespace cowslip::engine
