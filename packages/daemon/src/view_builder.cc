#include "cowslip/daemon/view_builder.h"

#include "cowslip/telemetry.h"

namespace cowslip::daemon {
namespace {

std::optional<membership::Announcement> DecodeItem(
    const relay::StoreEntry& item, membership::WallTime wall_now,
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

void ViewBuilder::UpdateItems(
    const std::map<std::string, relay::StoreEntry>& items,
    membership::WallTime wall_now, TimePoint now) {
  for (const auto& [key, item] : items) {
    if (!key.starts_with(membership::AnnouncementPrefix())) continue;
    auto& cached = announcements_[key];
    if (cached.position == item.position) continue;
    cached = {item.position, DecodeItem(item, wall_now, now)};
  }
}

membership::ViewPtr ViewBuilder::BuildView(const ticket::TicketState& tickets) {
  std::vector<Upstream> upstreams;
  std::vector<Upstream> dead;
  for (const auto& [key, cached] : announcements_) {
    if (!cached.announcement) continue;
    auto& target = cached.announcement->dead ? dead : upstreams;
    target.push_back(cached.announcement->upstream);
  }
  return std::make_shared<membership::View>(++epoch_, tickets,
                                            std::move(upstreams), dead);
}

}  // namespace cowslip::daemon
