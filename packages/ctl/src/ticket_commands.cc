#include "ticket_commands.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include "cowslip/registry.h"

namespace cowslip::ctl {
namespace {

using registry::RegistryError;
using registry::TicketRegistry;

std::optional<std::string> ReadText(const std::string& file) {
  std::ifstream stream(file);
  std::ostringstream text;
  if (stream && text << stream.rdbuf()) return text.str();
  std::cerr << file << ": the file can't be read\n";
  return std::nullopt;
}

std::optional<TicketRegistry> OpenRegistry(
    const settings::CtlSettings& settings) {
  consul::StoreClientOptions options;
  options.urls = settings.store.urls;
  options.timeout = settings.store.timeout;
  options.token = settings.store.token;
  LastReason<consul::ConsulError> reason;
  auto client = consul::StoreClient::Create(options, reason);
  if (client) return TicketRegistry(std::move(*client));
  std::cerr << reason.Message() << "\n";
  return std::nullopt;
}

ExitCode ReportError(const LastReason<RegistryError>& reason) {
  std::cerr << reason.Message() << "\n";
  switch (reason.code()) {
    case RegistryError::kOk:
      return ExitCode::kSuccess;
    case RegistryError::kNumberTaken:
      return ExitCode::kNumberTaken;
    case RegistryError::kUnavailable:
      return ExitCode::kUnavailable;
    case RegistryError::kOutcomeUnknown:
      return ExitCode::kOutcomeUnknown;
    case RegistryError::kInvalid:
    case RegistryError::kNumberNotNext:
    case RegistryError::kNotFound:
    case RegistryError::kBadSnapshot:
      return ExitCode::kInvalid;
  }
  return ExitCode::kInvalid;
}

}  // namespace

ExitCode CheckTicket(const std::string& file) {
  const auto text = ReadText(file);
  if (!text) return ExitCode::kInvalid;
  LastReason<ticket::TicketError> reason;
  const auto parsed = ticket::ParseTicket(*text, file, reason);
  if (!parsed) {
    std::cerr << reason.Message() << "\n";
    return ExitCode::kInvalid;
  }
  std::cout << "valid ticket=" << Raw(parsed->number)
            << " services=" << parsed->services.size() << "\n";
  return ExitCode::kSuccess;
}

ExitCode SubmitTicket(const settings::CtlSettings& settings,
                      const std::string& file) {
  const auto text = ReadText(file);
  if (!text) return ExitCode::kInvalid;
  auto registry = OpenRegistry(settings);
  if (!registry) return ExitCode::kUnavailable;
  LastReason<RegistryError> reason;
  const auto accepted = registry->Submit(*text, file, reason);
  if (!accepted) return ReportError(reason);
  std::cout << "accepted ticket=" << Raw(accepted->number)
            << " repeated=" << (accepted->already_accepted ? "true" : "false")
            << "\n";
  return ExitCode::kSuccess;
}

ExitCode ShowTicket(const settings::CtlSettings& settings,
                    std::optional<std::uint64_t> number) {
  auto registry = OpenRegistry(settings);
  if (!registry) return ExitCode::kUnavailable;
  LastReason<RegistryError> reason;
  const auto history = registry->Read(reason);
  if (!history) return ReportError(reason);
  if (!number) {
    std::cout << ticket::FormatTicket(history->state.Snapshot()) << "\n";
    return ExitCode::kSuccess;
  }
  const auto entry = history->tickets.find(TicketNumber(*number));
  if (entry == history->tickets.end()) {
    reason.Set(RegistryError::kNotFound, std::to_string(*number));
    return ReportError(reason);
  }
  std::cout << ticket::FormatTicket(entry->second.ticket) << "\n";
  return ExitCode::kSuccess;
}

ExitCode ShowHistory(const settings::CtlSettings& settings) {
  auto registry = OpenRegistry(settings);
  if (!registry) return ExitCode::kUnavailable;
  LastReason<RegistryError> reason;
  const auto history = registry->Read(reason);
  if (!history) return ReportError(reason);
  for (const auto& folded : history->folded) {
    std::cout << "ticket=" << Raw(folded.number) << " author=" << folded.author
              << " folded=true note=\"" << folded.note << "\"\n";
  }
  for (const auto& [number, stored] : history->tickets) {
    if (number <= history->snapshot) continue;
    const auto& ticket = stored.ticket;
    std::cout << "ticket=" << Raw(number) << " author=" << ticket.author
              << " services=" << ticket.services.size()
              << " removed=" << ticket.removed.size() << " note=\""
              << ticket.note << "\"\n";
  }
  std::cout << "in_force=" << Raw(history->state.number())
            << " snapshot=" << Raw(history->snapshot) << "\n";
  return ExitCode::kSuccess;
}

ExitCode CompactTickets(const settings::CtlSettings& settings) {
  auto registry = OpenRegistry(settings);
  if (!registry) return ExitCode::kUnavailable;
  LastReason<RegistryError> reason;
  auto compaction = registry::Compaction::Plan(*registry, reason);
  if (!compaction) return ReportError(reason);
  while (!compaction->done()) {
    if (!compaction->Step(reason)) return ReportError(reason);
  }
  std::cout << "compacted snapshot=" << Raw(compaction->number())
            << " deleted=" << compaction->deletion_count() << "\n";
  return ExitCode::kSuccess;
}

}  // namespace cowslip::ctl
