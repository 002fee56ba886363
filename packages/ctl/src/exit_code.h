#pragma once

namespace cowslip::ctl {

/// Exit codes of cowslipctl, documented in docs/OPERATIONS.md.
enum class ExitCode : int {
  kDone = 0,
  kUsage = 1,
  kInvalid = 2,      ///< Settings or ticket refused; nothing changed.
  kUnavailable = 3,  ///< The store or an instance did not answer.
  kTaken = 4,        ///< Another operator holds the number.
  kUnknown = 5,      ///< The outcome is unknown; repeat the command.
};

}  // namespace cowslip::ctl
