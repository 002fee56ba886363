#include "cowslip/membership/announcement.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cowslip::membership {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kPrefix = "cowslip/upstreams/";

/// Limits of what an announcement may say; other programs may write to the same
/// store.
constexpr std::uint32_t kMaxSlots = 65'535;
constexpr double kMaxWeight = 1e6;
/// Year 2200; clocks count nanoseconds and end some decades later.
constexpr milliseconds kMaxStartTime{7'258'118'400'000};

/// @return whether a number is not negative and at most `max`.
bool IsUnsignedUpTo(const nlohmann::json& number, std::uint64_t max) {
  return number.is_number_unsigned() && number.get<std::uint64_t>() <= max;
}

/// @return the name of a field that is out of range, empty if there is none.
std::string_view FindOutOfRange(const nlohmann::json& json) {
  for (const std::string_view field : {"id", "service"}) {
    if (!IsUnsignedUpTo(json.at(field), UINT32_MAX)) return field;
  }
  if (!IsUnsignedUpTo(json.at("incarnation"), UINT64_MAX)) return "incarnation";
  if (!IsUnsignedUpTo(json.at("slots"), kMaxSlots)) return "slots";
  const auto started = static_cast<std::uint64_t>(kMaxStartTime.count());
  if (!IsUnsignedUpTo(json.at("started_ms"), started)) return "started_ms";
  const auto weight = json.at("weight").get<double>();
  // Also false if it is not a number.
  if (!(weight >= 0 && weight <= kMaxWeight)) return "weight";
  return {};
}

UpstreamState ReadState(const nlohmann::json& json) {
  if (json.at("draining").get<bool>()) return UpstreamState::kDraining;
  return json.value("down", false) ? UpstreamState::kDown
                                   : UpstreamState::kActive;
}

Announcement FromJson(const nlohmann::json& json) {
  Announcement announcement;
  auto& upstream = announcement.upstream;
  upstream.id = UpstreamId(json.at("id").get<std::uint32_t>());
  upstream.service = ServiceId(json.at("service").get<std::uint32_t>());
  upstream.incarnation =
      Incarnation(json.at("incarnation").get<std::uint64_t>());
  upstream.sidecar =
      ParseEndpoint(json.at("sidecar").get<std::string>()).value_or(Endpoint{});
  upstream.slots = json.at("slots").get<std::uint32_t>();
  upstream.weight = json.at("weight").get<double>();
  upstream.state = ReadState(json);
  upstream.data_center = json.at("data_center").get<std::string>();
  announcement.started =
      WallTime(milliseconds(json.at("started_ms").get<std::int64_t>()));
  announcement.dead = json.at("dead").get<bool>();
  announcement.writer = json.value("writer", std::uint64_t{0});
  return announcement;
}

}  // namespace

std::string_view AnnouncementPrefix() { return kPrefix; }

std::string AnnouncementKey(ServiceId service, UpstreamId id) {
  return std::string(kPrefix) + std::to_string(Raw(service)) + "/" +
         std::to_string(Raw(id));
}

std::string EncodeAnnouncement(const Announcement& announcement) {
  const auto& upstream = announcement.upstream;
  const auto started = std::chrono::duration_cast<milliseconds>(
      announcement.started.time_since_epoch());
  return nlohmann::json{
      {"id", Raw(upstream.id)},
      {"service", Raw(upstream.service)},
      {"incarnation", Raw(upstream.incarnation)},
      {"sidecar", ToString(upstream.sidecar)},
      {"slots", upstream.slots},
      {"weight", upstream.weight},
      {"draining", upstream.state == UpstreamState::kDraining},
      {"down", upstream.state == UpstreamState::kDown},
      {"data_center", upstream.data_center},
      {"started_ms", started.count()},
      {"dead", announcement.dead},
      {"writer", announcement.writer},
  }
      .dump();
}

std::optional<Announcement> DecodeAnnouncement(
    std::string_view json, LastReason<MembershipError>& reason) {
  try {
    const auto document = nlohmann::json::parse(json);
    const auto out_of_range = FindOutOfRange(document);
    if (!out_of_range.empty()) {
      reason.Set(MembershipError::kBadAnnouncement, std::string(out_of_range));
      return std::nullopt;
    }
    const auto announcement = FromJson(document);
    if (announcement.upstream.sidecar.port != 0) return announcement;
    reason.Set(MembershipError::kBadAnnouncement, "sidecar");
  } catch (const nlohmann::json::exception& error) {
    reason.Set(MembershipError::kBadAnnouncement, error.what());
  }
  return std::nullopt;
}

TimePoint JoinTime(WallTime started, WallTime wall_now, TimePoint now) {
  const auto age = std::max(wall_now - started, WallTime::duration::zero());
  return now - std::chrono::duration_cast<Duration>(age);
}

Incarnation NextIncarnation(Incarnation previous, WallTime now) {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now.time_since_epoch());
  const auto clock = static_cast<std::uint64_t>(
      std::max(age.count(), std::chrono::milliseconds::rep{0}));
  return Incarnation(std::max(Raw(previous) + 1, clock));
}

}  // namespace cowslip::membership
