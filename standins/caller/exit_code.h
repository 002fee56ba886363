#pragma once

namespace cowslip::standin {

/// Exit codes of standin-caller.
enum class ExitCode {
  /// The complete answer arrived.
  kAnswered = 0,
  /// No answer within the time limit, or the request could not be delivered.
  kTimeout = 3,
  /// A CoAP response of class 4 or 5.
  kErrorResponse = 4,
};

}  // namespace cowslip::standin
