#pragma once

#include <optional>
#include <string>

#include "cowslip/settings.h"
#include "exit_code.h"

namespace cowslip::ctl {

/// Checks a ticket file on its own; the store isn't asked.
ExitCode CheckTicket(const std::string& file);
/// Submits a ticket file.
ExitCode SubmitTicket(const settings::CtlSettings& settings,
                      const std::string& file);
/// Shows one ticket, or the folded state if no number is given.
ExitCode ShowTicket(const settings::CtlSettings& settings,
                    std::optional<std::uint64_t> number);
/// Lists the accepted tickets.
ExitCode ShowHistory(const settings::CtlSettings& settings);

/// Replaces all tickets in the store by a snapshot.
ExitCode CompactTickets(const settings::CtlSettings& settings);

}  // namespace cowslip::ctl
