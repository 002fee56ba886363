#include "cowslip/daemon/control_state.h"

#include "cowslip/telemetry.h"

namespace cowslip::daemon {
namespace {

using telemetry::Level;
using telemetry::Log;

void LogRefused(const std::string& key, const std::string& reason) {
  Log(Level::kError, "store_value_refused", {{"key", key}, {"reason", reason}});
}

}  // namespace

bool ControlState::AbsorbTickets(
    const std::vector<platform::KeyValue>& listing) {
  bool changed = false;
  std::map<TicketNumber, const platform::KeyValue*> numbered;
  for (const auto& entry : listing) {
    if (entry.key == ticket::SnapshotKey()) {
      LastReason<ticket::TicketError> reason;
      const auto snapshot = ticket::ParseTicket(entry.value, entry.key, reason);
      if (!snapshot) {
        LogRefused(entry.key, reason.Message());
      } else if (snapshot->number > tickets_.number()) {
        tickets_ = ticket::TicketState::FromSnapshot(*snapshot);
        changed = true;
      }
    }
    const auto number = ticket::ParseTicketKey(entry.key);
    if (number) numbered[*number] = &entry;
  }
  for (const auto& [number, entry] : numbered) {
    if (number <= tickets_.number()) continue;
    LastReason<ticket::TicketError> reason;
    const auto parsed = ticket::ParseTicket(entry->value, entry->key, reason);
    auto next = parsed ? tickets_.Apply(*parsed, reason) : std::nullopt;
    if (!next) {
      LogRefused(entry->key, reason.Message());
      break;
    }
    tickets_ = std::move(*next);
    changed = true;
    Log(Level::kInfo, "ticket_in_force", {{"ticket", Raw(number)}});
  }
  return changed;
}

bool ControlState::AbsorbAnnouncements(
    const std::vector<platform::KeyValue>& listing) {
  std::map<std::string, std::string> latest;
  for (const auto& entry : listing) {
    if (!entry.key.starts_with(membership::AnnouncementPrefix())) continue;
    latest[entry.key] = entry.value;
  }
  const bool changed = latest != announcements_;
  announcements_ = std::move(latest);
  return changed;
}

bool ControlState::Absorb(const std::vector<platform::KeyValue>& listing) {
  const bool tickets = AbsorbTickets(listing);
  const bool announcements = AbsorbAnnouncements(listing);
  return tickets || announcements;
}

membership::ViewPtr ControlState::BuildView(membership::WallTime wall_now,
                                            TimePoint now) {
  std::vector<Upstream> upstreams;
  for (const auto& [key, json] : announcements_) {
    LastReason<membership::MembershipError> reason;
    auto announcement = membership::DecodeAnnouncement(json, reason);
    if (!announcement) {
      LogRefused(key, reason.Message());
      continue;
    }
    if (announcement->dead) continue;
    announcement->upstream.joined =
        membership::JoinTime(announcement->started, wall_now, now);
    upstreams.push_back(std::move(announcement->upstream));
  }
  return std::make_shared<membership::View>(++epoch_, tickets_,
                                            std::move(upstreams));
}

}  // namespace cowslip::daemon
