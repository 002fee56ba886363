#include "cowslip/daemon/control_state.h"

#include "cowslip/telemetry.h"

namespace cowslip::daemon {
namespace {

std::optional<membership::Announcement> Read(const relay::StoreEntry& item,
                                             membership::WallTime wall_now,
                                             TimePoint now) {
  if (item.value.empty()) return std::nullopt;
  LastReason<membership::MembershipError> reason;
  auto announcement = membership::DecodeAnnouncement(item.value, reason);
  if (!announcement) {
    telemetry::Log(telemetry::LogLevel::kError, "store_value_refused",
                   {{"key", item.key}, {"reason", reason.Message()}});
    return std::nullopt;
  }
  announcement->upstream.joined =
      membership::JoinTime(announcement->started, wall_now, now);
  return announcement;
}

}  // namespace

void ControlState::TakeItems(
    const std::map<std::string, relay::StoreEntry>& items,
    membership::WallTime wall_now, TimePoint now) {
  for (const auto& [key, item] : items) {
    if (!key.starts_with(membership::AnnouncementPrefix())) continue;
    auto& known = announcements_[key];
    if (known.index == item.index) continue;
    known = {item.index, Read(item, wall_now, now)};
  }
}

membership::ViewPtr ControlState::BuildView(
    const ticket::TicketState& tickets) {
  std::vector<Upstream> upstreams;
  std::vector<Upstream> dead;
  for (const auto& [key, known] : announcements_) {
    if (!known.announcement) continue;
    auto& list = known.announcement->dead ? dead : upstreams;
    list.push_back(known.announcement->upstream);
  }
  return std::make_shared<membership::View>(++epoch_, tickets,
                                            std::move(upstreams), dead);
}

}  // namespace cowslip::daemon
