#pragma once

namespace cowslip::standin {

/// Exit codes of the caller.
enum class ExitCode {
  kAnswered = 0,
  kTimeout = 3,
  /// A CoAP response of class 4 or 5.
  kErrorResponse = 4,
};

}  // namespace cowslip::standin
