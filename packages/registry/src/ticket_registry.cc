#include "cowslip/registry/ticket_registry.h"

namespace cowslip::registry {
namespace {

using consul::ConsulError;
using ticket::TicketError;

constexpr int kReadAttempts = 3;

std::string NextNumber(const ticket::TicketState& state) {
  return "the next number is " + std::to_string(Raw(state.number()) + 1);
}

bool LoadSnapshot(const consul::KeyValue& entry, History& history,
                  LastReason<TicketError>& ticket_reason) {
  const auto parsed =
      ticket::ParseSnapshot(entry.value, entry.key, ticket_reason);
  if (!parsed) return false;
  history.state = ticket::TicketState::FromSnapshot(*parsed);
  history.folded = parsed->folded;
  history.snapshot = parsed->number;
  history.snapshot_index = entry.modify_index;
  return true;
}

void LoadTickets(const consul::ListResult& listing, History& history) {
  for (const auto& entry : listing.values) {
    LastReason<TicketError> ticket_reason;
    const auto number = ticket::ParseTicketKey(entry.key);
    const auto parsed =
        ticket::ParseTicket(entry.value, entry.key, ticket_reason);
    if (!number || !parsed) continue;
    history.tickets[*number] = {*parsed, entry.value, entry.modify_index};
  }
}

void ApplyTickets(History& history) {
  LastReason<TicketError> ticket_reason;
  for (const auto& [number, stored] : history.tickets) {
    if (number <= history.state.number()) continue;
    auto next = history.state.Apply(stored.ticket, ticket_reason);
    if (!next) break;
    history.state = std::move(*next);
  }
}

}  // namespace

std::optional<History> TicketRegistry::Read(Reason& reason) {
  LastReason<ConsulError> store_reason;
  // The snapshot must be read after the tickets: it then covers all tickets
  // that were deleted before the listing.
  const auto listing = client_.List(ticket::TicketPrefix(), store_reason);
  const auto snapshot =
      listing ? client_.Get(ticket::SnapshotKey(), store_reason) : std::nullopt;
  if (!snapshot) {
    reason.Set(RegistryError::kUnavailable, store_reason.Message());
    return std::nullopt;
  }
  History history;
  LastReason<TicketError> ticket_reason;
  if (snapshot->value &&
      !LoadSnapshot(*snapshot->value, history, ticket_reason)) {
    reason.Set(RegistryError::kBadSnapshot, ticket_reason.Message());
    return std::nullopt;
  }
  LoadTickets(*listing, history);
  ApplyTickets(history);
  return history;
}

std::optional<Acceptance> TicketRegistry::Submit(std::string_view text,
                                                 std::string_view file,
                                                 Reason& reason) {
  LastReason<TicketError> ticket_reason;
  const auto unchecked = ticket::ParseTicket(text, file, ticket_reason);
  if (!unchecked) {
    reason.Set(RegistryError::kInvalid, ticket_reason.Message());
    return std::nullopt;
  }
  const auto history = Read(reason);
  if (!history) return std::nullopt;
  if (unchecked->number <= history->state.number()) {
    return CheckOutcome(*unchecked, text, false, reason);
  }
  if (Raw(unchecked->number) != Raw(history->state.number()) + 1) {
    reason.Set(RegistryError::kNumberNotNext, NextNumber(history->state));
    return std::nullopt;
  }
  const auto parsed =
      ticket::ParseTicketAgainst(history->state, text, file, ticket_reason);
  if (!parsed || !history->state.Apply(*parsed, ticket_reason)) {
    reason.Set(RegistryError::kInvalid, ticket_reason.Message());
    return std::nullopt;
  }
  return Create(*parsed, text, reason);
}

std::optional<Acceptance> TicketRegistry::Create(const ticket::Ticket& ticket,
                                                 std::string_view text,
                                                 Reason& reason) {
  LastReason<ConsulError> store_reason;
  const auto result =
      client_.PutCas(ticket::TicketKey(ticket.number), text, 0, store_reason);
  if (!result && store_reason.code() == ConsulError::kUnavailable) {
    reason.Set(RegistryError::kUnavailable, store_reason.Message());
    return std::nullopt;
  }
  return CheckOutcome(ticket, text, result && result->applied, reason);
}

std::optional<Acceptance> TicketRegistry::CheckOutcome(
    const ticket::Ticket& ticket, std::string_view text, bool own_write,
    Reason& reason) {
  std::optional<History> history;
  for (int i = 0; i < kReadAttempts && !history; ++i) history = Read(reason);
  if (!history) {
    reason.Set(RegistryError::kOutcomeUnknown, reason.detail());
    return std::nullopt;
  }
  const auto stored_digest = history->DigestAt(ticket.number);
  if (stored_digest == ticket::TicketDigest(text)) {
    return Acceptance{ticket.number, !own_write};
  }
  if (!stored_digest && ticket.number > history->state.number()) {
    reason.Set(RegistryError::kOutcomeUnknown,
               "the ticket is not in the store");
    return std::nullopt;
  }
  reason.Set(RegistryError::kNumberTaken,
             "held by " + history->AuthorAt(ticket.number) + "; " +
                 NextNumber(history->state));
  return std::nullopt;
}

}  // namespace cowslip::registry
