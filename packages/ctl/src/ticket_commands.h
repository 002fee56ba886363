#pragma once

#include <optional>
#include <string>

#include "cowslip/settings.h"
#include "exit_code.h"

namespace cowslip::ctl {

/// Validates a ticket file without contacting the store.
ExitCode CheckTicket(const std::string& file);
/// Submits a ticket (a numbered configuration change) from a file to the store.
ExitCode SubmitTicket(const settings::CtlSettings& settings,
                      const std::string& file);
/// Prints one ticket, or the resulting state of all tickets if no number is
/// given.
ExitCode ShowTicket(const settings::CtlSettings& settings,
                    std::optional<std::uint64_t> number);
/// Prints a line for each accepted ticket, and the number in force.
ExitCode ShowHistory(const settings::CtlSettings& settings);

/// Replaces all tickets in the store by a snapshot of the resulting state.
ExitCode CompactTickets(const settings::CtlSettings& settings);

}  // namespace cowslip::ctl
