#include "cowslip/registry/ticket_registry.h"

namespace cowslip::registry {
namespace {

using platform::PlatformError;
using ticket::TicketError;

constexpr std::string_view kRoot = "cowslip/";
constexpr int kSettleAttempts = 3;

std::string NextNumber(const ticket::TicketState& state) {
  return "the next number is " + std::to_string(Raw(state.number()) + 1);
}

}  // namespace

std::optional<History> TicketRegistry::Read(Reason& reason) {
  LastReason<PlatformError> fault;
  const auto snapshot = client_.Get(ticket::SnapshotKey(), fault);
  const auto listing =
      snapshot ? client_.List(ticket::TicketPrefix(), fault) : std::nullopt;
  if (!listing) {
    reason.Set(RegistryError::kUnavailable, fault.Message());
    return std::nullopt;
  }
  History history;
  LastReason<TicketError> refused;
  if (snapshot->value) {
    const auto parsed = ticket::ParseTicket(snapshot->value->value,
                                            ticket::SnapshotKey(), refused);
    if (parsed) history.state = ticket::TicketState::FromSnapshot(*parsed);
  }
  for (const auto& entry : listing->values) {
    const auto number = ticket::ParseTicketKey(entry.key);
    const auto parsed = ticket::ParseTicket(entry.value, entry.key, refused);
    if (!number || !parsed) continue;
    history.tickets[*number] = *parsed;
  }
  for (const auto& [number, parsed] : history.tickets) {
    if (number <= history.state.number()) continue;
    auto next = history.state.Apply(parsed, refused);
    if (!next) break;
    history.state = std::move(*next);
  }
  return history;
}

std::optional<Acceptance> TicketRegistry::Submit(std::string_view text,
                                                 std::string_view file,
                                                 Reason& reason) {
  LastReason<TicketError> refused;
  const auto parsed = ticket::ParseTicket(text, file, refused);
  if (!parsed) {
    reason.Set(RegistryError::kInvalid, refused.Message());
    return std::nullopt;
  }
  const auto history = Read(reason);
  if (!history) return std::nullopt;
  if (parsed->number <= history->state.number()) {
    return Settle(*parsed, text, reason);
  }
  if (!history->state.Apply(*parsed, refused)) {
    const bool number = refused.code() == TicketError::kNumberNotNext;
    reason.Set(number ? RegistryError::kNotNext : RegistryError::kInvalid,
               number ? NextNumber(history->state) : refused.Message());
    return std::nullopt;
  }
  return Create(*parsed, text, reason);
}

std::optional<Acceptance> TicketRegistry::Create(const ticket::Ticket& ticket,
                                                 std::string_view text,
                                                 Reason& reason) {
  LastReason<PlatformError> fault;
  const auto result =
      client_.PutCas(ticket::TicketKey(ticket.number), text, 0, fault);
  if (result && result->applied) return Acceptance{ticket.number, false};
  if (!result && fault.code() == PlatformError::kUnavailable) {
    reason.Set(RegistryError::kUnavailable, fault.Message());
    return std::nullopt;
  }
  return Settle(ticket, text, reason);
}

/// Finds out who holds the number by reading it.
std::optional<Acceptance> TicketRegistry::Settle(const ticket::Ticket& ticket,
                                                 std::string_view text,
                                                 Reason& reason) {
  LastReason<PlatformError> fault;
  for (int attempt = 0; attempt < kSettleAttempts; ++attempt) {
    const auto held = client_.Get(ticket::TicketKey(ticket.number), fault);
    if (!held) continue;
    if (!held->value) {
      reason.Set(RegistryError::kUnknown, "number not found");
      return std::nullopt;
    }
    if (held->value->value == text) return Acceptance{ticket.number, true};
    LastReason<TicketError> refused;
    const auto other =
        ticket::ParseTicket(held->value->value, held->value->key, refused);
    const auto history = Read(reason);
    reason.Set(RegistryError::kTaken,
               "held by " + (other ? other->author : "unknown") +
                   (history ? "; " + NextNumber(history->state) : ""));
    return std::nullopt;
  }
  reason.Set(RegistryError::kUnknown, fault.Message());
  return std::nullopt;
}

}  // namespace cowslip::registry
