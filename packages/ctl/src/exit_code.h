#pragma once

namespace cowslip::ctl {

/// Exit codes of cowslipctl, documented in docs/OPERATIONS.md.
enum class ExitCode : int {
  kSuccess = 0,
  kUsage = 1,
  kInvalid = 2,         ///< Settings or ticket rejected; nothing changed.
  kUnavailable = 3,     ///< The store or an instance did not answer.
  kNumberTaken = 4,     ///< The ticket number is already used.
  kOutcomeUnknown = 5,  ///< Unknown whether it was done; repeat the command.
};

}  // namespace cowslip::ctl
