#include "cowslip/relay/ticket_log.h"

#include <algorithm>
#include <utility>

namespace cowslip::relay {

bool TicketLog::Apply(const TicketText& ticket,
                      LastReason<ticket::TicketError>& reason) {
  if (ticket.era == era_) return ApplyStored(ticket, reason);
  if (ticket.era < era_ || !ticket.snapshot) return false;
  TicketLog replacement;
  replacement.era_ = ticket.era;
  if (!replacement.ApplyStored(ticket, reason)) return false;
  *this = std::move(replacement);
  return true;
}

bool TicketLog::ApplyStored(const TicketText& ticket,
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
    summaries_.clear();
    for (const auto& folded : parsed->folded) Remember(folded);
    return true;
  }
  auto state = state_.Apply(*parsed, reason);
  if (!state) return false;
  state_ = std::move(*state);
  texts_.push_back(ticket);
  texts_.back().era = era_;
  if (texts_.size() > kMaxTexts) texts_.pop_front();
  Remember(ticket::Summarize(*parsed, ticket.text));
  return true;
}

void TicketLog::Remember(ticket::FoldedTicket ticket) {
  summaries_.push_back(std::move(ticket));
  if (summaries_.size() > kMaxTexts) summaries_.pop_front();
}

const ticket::FoldedTicket* TicketLog::Find(TicketNumber number) const {
  const auto held =
      std::ranges::find(summaries_, number, &ticket::FoldedTicket::number);
  return held == summaries_.end() ? nullptr : &*held;
}

bool TicketLog::HasOther(const ticket::FoldedTicket& ticket) const {
  const auto* held = Find(ticket.number);
  return held != nullptr && held->digest != ticket.digest;
}

bool TicketLog::Contradicts(std::span<const TicketText> stored) {
  TicketNumber folded_through{};
  for (const auto& text : stored) {
    if (text.snapshot) folded_through = text.number;
    // A late write under a number that the snapshot has replaced has no effect.
    if (!text.snapshot && text.number <= folded_through) continue;
    if (!text.snapshot) {
      const auto* held = Find(text.number);
      const bool other =
          held != nullptr && held->digest != ticket::TicketDigest(text.text);
      if (other) return true;
      continue;
    }
    const auto digest = ticket::TicketDigest(text.text);
    if (digest == checked_snapshot_) continue;
    LastReason<ticket::TicketError> ignored;  // Apply() reports it.
    const auto parsed = ticket::ParseSnapshot(text.text, "snapshot", ignored);
    if (!parsed) continue;
    const bool other = std::ranges::any_of(
        parsed->folded,
        [this](const auto& folded) { return HasOther(folded); });
    if (other) return true;
    checked_snapshot_ = digest;
  }
  return false;
}

void TicketLog::ReplaceWith(std::span<const TicketText> stored,
                            LastReason<ticket::TicketError>& reason) {
  TicketLog replacement;
  replacement.era_ = era_ + 1;
  for (const auto& text : stored) replacement.ApplyStored(text, reason);
  *this = std::move(replacement);
}

std::vector<TicketText> TicketLog::ChangesSince(
    const TicketPosition& position) const {
  std::vector<TicketText> newer;
  if (position >= this->position()) return newer;
  const bool gap =
      texts_.empty() || Raw(texts_.front().number) > Raw(position.number) + 1;
  if (position.era < era_ || gap) {
    auto snapshot = state_.Snapshot();
    snapshot.folded.assign(summaries_.begin(), summaries_.end());
    return {{number(), true, ticket::FormatTicket(snapshot), era_}};
  }
  for (const auto& text : texts_) {
    if (text.number > position.number) newer.push_back(text);
  }
  return newer;
}

}  // namespace cowslip::relay
