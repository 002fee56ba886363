#include "cowslip/daemon/announcer.h"

#include "store_options.h"

namespace cowslip::daemon {

std::optional<Announcer> Announcer::Create(
    const settings::DaemonSettings& settings, LastReason<DaemonError>& reason) {
  LastReason<platform::PlatformError> fault;
  auto client = platform::StoreClient::Create(ToOptions(settings.store), fault);
  if (client) return Announcer(settings, std::move(*client));
  reason.Set(DaemonError::kStore, fault.Message());
  return std::nullopt;
}

Announcer::Announcer(const settings::DaemonSettings& settings,
                     platform::StoreClient client)
    : client_(std::move(client)) {
  const auto& own = *settings.sidecar;
  auto& upstream = announcement_.upstream;
  upstream.id = own.id;
  upstream.service = own.service;
  upstream.sidecar = own.frames;
  upstream.slots = own.slots;
  upstream.weight = own.weight;
  upstream.data_center = settings.data_center;
  key_ = membership::AnnouncementKey(own.service, own.id);
}

std::optional<Incarnation> Announcer::Claim(LastReason<DaemonError>& reason) {
  LastReason<platform::PlatformError> fault;
  const auto found = client_.Get(key_, fault);
  if (!found) {
    reason.Set(DaemonError::kStore, fault.Message());
    return std::nullopt;
  }
  std::uint64_t previous = 0;
  if (found->value) {
    LastReason<membership::MembershipError> unread;
    const auto old =
        membership::DecodeAnnouncement(found->value->value, unread);
    if (old) previous = Raw(old->upstream.incarnation);
  }
  announcement_.upstream.incarnation = Incarnation(previous + 1);
  announcement_.started = std::chrono::system_clock::now();
  if (!Write(found->value ? found->value->modify_index : 0, reason)) {
    return std::nullopt;
  }
  return announcement_.upstream.incarnation;
}

bool Announcer::Write(std::uint64_t index, LastReason<DaemonError>& reason) {
  LastReason<platform::PlatformError> fault;
  const auto result = client_.PutCas(
      key_, membership::EncodeAnnouncement(announcement_), index, fault);
  if (result && result->applied) return true;
  reason.Set(DaemonError::kStore,
             result ? "another process wrote " + key_ : fault.Message());
  return false;
}

std::optional<std::uint64_t> Announcer::OwnIndex(
    LastReason<DaemonError>& reason) {
  LastReason<platform::PlatformError> fault;
  const auto found = client_.Get(key_, fault);
  if (!found) {
    reason.Set(DaemonError::kStore, fault.Message());
    return std::nullopt;
  }
  LastReason<membership::MembershipError> unread;
  const auto written =
      found->value ? membership::DecodeAnnouncement(found->value->value, unread)
                   : std::nullopt;
  if (written &&
      written->upstream.incarnation == announcement_.upstream.incarnation) {
    return found->value->modify_index;
  }
  reason.Set(DaemonError::kStore, "another incarnation holds " + key_);
  return std::nullopt;
}

bool Announcer::AnnounceDraining(LastReason<DaemonError>& reason) {
  announcement_.upstream.state = UpstreamState::kDraining;
  const auto index = OwnIndex(reason);
  return index && Write(*index, reason);
}

bool Announcer::Withdraw(LastReason<DaemonError>& reason) {
  // The record stays, marked dead, so that incarnations keep rising.
  announcement_.dead = true;
  const auto index = OwnIndex(reason);
  return index && Write(*index, reason);
}

}  // namespace cowslip::daemon
