#include "cowslip/relay/ticket_log.h"

namespace cowslip::relay {

bool TicketLog::Apply(const TicketText& ticket,
                      LastReason<ticket::TicketError>& reason) {
  if (ticket.number <= number()) return false;
  const bool next = Raw(ticket.number) == Raw(number()) + 1;
  if (!next && !ticket.snapshot) return false;
  const auto name = "ticket " + std::to_string(Raw(ticket.number));
  const auto parsed = ticket.snapshot
                          ? ticket::ParseSnapshot(ticket.text, name, reason)
                          : ticket::ParseTicket(ticket.text, name, reason);
  if (!parsed) return false;
  if (parsed->number != ticket.number) {
    reason.Set(ticket::TicketError::kNumberNotNext, name);
    return false;
  }
  if (ticket.snapshot) {
    state_ = ticket::TicketState::FromSnapshot(*parsed);
    texts_.clear();
    return true;
  }
  auto state = state_.Apply(*parsed, reason);
  if (!state) return false;
  state_ = std::move(*state);
  texts_.push_back(ticket);
  if (texts_.size() > kMaxTexts) texts_.pop_front();
  return true;
}

std::vector<TicketText> TicketLog::ChangesSince(TicketNumber number) const {
  std::vector<TicketText> newer;
  if (number >= state_.number()) return newer;
  const bool gap =
      texts_.empty() || Raw(texts_.front().number) > Raw(number) + 1;
  if (gap) {
    return {{state_.number(), true, ticket::FormatTicket(state_.Snapshot())}};
  }
  for (const auto& text : texts_) {
    if (text.number > number) newer.push_back(text);
  }
  return newer;
}

}  // namespace cowslip::relay
