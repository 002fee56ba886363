#include "cowslip/registry/ticket_registry.h"

namespace cowslip::registry {
namespace {

using consul::ConsulError;
using ticket::TicketError;

constexpr int kSettleAttempts = 3;

std::string NextNumber(const ticket::TicketState& state) {
  return "the next number is " + std::to_string(Raw(state.number()) + 1);
}

bool TakeSnapshot(const consul::KeyValue& entry, History& history,
                  LastReason<TicketError>& refused) {
  const auto parsed = ticket::ParseSnapshot(entry.value, entry.key, refused);
  if (!parsed) return false;
  history.state = ticket::TicketState::FromSnapshot(*parsed);
  history.folded = parsed->folded;
  history.snapshot = parsed->number;
  history.snapshot_index = entry.modify_index;
  return true;
}

void TakeTickets(const consul::ListResult& listing, History& history) {
  for (const auto& entry : listing.values) {
    LastReason<TicketError> refused;
    const auto number = ticket::ParseTicketKey(entry.key);
    const auto parsed = ticket::ParseTicket(entry.value, entry.key, refused);
    if (!number || !parsed) continue;
    history.tickets[*number] = {*parsed, entry.value, entry.modify_index};
  }
}

void Fold(History& history) {
  LastReason<TicketError> refused;
  for (const auto& [number, stored] : history.tickets) {
    if (number <= history.state.number()) continue;
    auto next = history.state.Apply(stored.ticket, refused);
    if (!next) break;
    history.state = std::move(*next);
  }
}

}  // namespace

std::optional<History> TicketRegistry::Read(Reason& reason) {
  LastReason<ConsulError> fault;
  // In this order: a snapshot that is read later covers whatever was deleted
  // before the tickets were read.
  const auto listing = client_.List(ticket::TicketPrefix(), fault);
  const auto snapshot =
      listing ? client_.Get(ticket::SnapshotKey(), fault) : std::nullopt;
  if (!snapshot) {
    reason.Set(RegistryError::kUnavailable, fault.Message());
    return std::nullopt;
  }
  History history;
  LastReason<TicketError> refused;
  if (snapshot->value && !TakeSnapshot(*snapshot->value, history, refused)) {
    reason.Set(RegistryError::kBadSnapshot, refused.Message());
    return std::nullopt;
  }
  TakeTickets(*listing, history);
  Fold(history);
  return history;
}

std::optional<Acceptance> TicketRegistry::Submit(std::string_view text,
                                                 std::string_view file,
                                                 Reason& reason) {
  LastReason<TicketError> refused;
  const auto alone = ticket::ParseTicket(text, file, refused);
  if (!alone) {
    reason.Set(RegistryError::kInvalid, refused.Message());
    return std::nullopt;
  }
  const auto history = Read(reason);
  if (!history) return std::nullopt;
  if (alone->number <= history->state.number()) {
    return Settle(*alone, text, false, reason);
  }
  if (Raw(alone->number) != Raw(history->state.number()) + 1) {
    reason.Set(RegistryError::kNumberNotNext, NextNumber(history->state));
    return std::nullopt;
  }
  const auto parsed =
      ticket::ParseTicketAgainst(history->state, text, file, refused);
  if (!parsed || !history->state.Apply(*parsed, refused)) {
    reason.Set(RegistryError::kInvalid, refused.Message());
    return std::nullopt;
  }
  return Create(*parsed, text, reason);
}

std::optional<Acceptance> TicketRegistry::Create(const ticket::Ticket& ticket,
                                                 std::string_view text,
                                                 Reason& reason) {
  LastReason<ConsulError> fault;
  const auto result =
      client_.PutCas(ticket::TicketKey(ticket.number), text, 0, fault);
  if (!result && fault.code() == ConsulError::kUnavailable) {
    reason.Set(RegistryError::kUnavailable, fault.Message());
    return std::nullopt;
  }
  return Settle(ticket, text, result && result->applied, reason);
}

/// Finds out who holds the number by reading it.
std::optional<Acceptance> TicketRegistry::Settle(const ticket::Ticket& ticket,
                                                 std::string_view text,
                                                 bool own_write,
                                                 Reason& reason) {
  std::optional<History> history;
  for (int i = 0; i < kSettleAttempts && !history; ++i) history = Read(reason);
  if (!history) {
    reason.Set(RegistryError::kOutcomeUnknown, reason.detail());
    return std::nullopt;
  }
  const auto held = history->DigestAt(ticket.number);
  if (held == ticket::TicketDigest(text)) {
    return Acceptance{ticket.number, !own_write};
  }
  if (!held && ticket.number > history->state.number()) {
    reason.Set(RegistryError::kOutcomeUnknown, "number not found");
    return std::nullopt;
  }
  reason.Set(RegistryError::kNumberTaken,
             "held by " + history->AuthorAt(ticket.number) + "; " +
                 NextNumber(history->state));
  return std::nullopt;
}

}  // namespace cowslip::registry
