#include "cowslip/daemon/announcement_store.h"

#include <openssl/rand.h>

#include <algorithm>

#include "store_options.h"

namespace cowslip::daemon {

using membership::Announcement;
using membership::RecordOutcome;

std::optional<AnnouncementStore> AnnouncementStore::Create(
    const settings::DaemonSettings& settings, LastReason<DaemonError>& reason) {
  LastReason<consul::ConsulError> store_reason;
  auto client = consul::StoreClient::Create(
      ToStoreClientOptions(settings.store), store_reason);
  if (client) return AnnouncementStore(settings, std::move(*client));
  reason.Set(DaemonError::kStore, store_reason.Message());
  return std::nullopt;
}

AnnouncementStore::AnnouncementStore(const settings::DaemonSettings& settings,
                                     consul::StoreClient client)
    : client_(std::move(client)) {
  const auto& sidecar_settings = *settings.sidecar;
  auto& upstream = announcement_.upstream;
  upstream.id = sidecar_settings.id;
  upstream.service = sidecar_settings.service;
  upstream.sidecar = sidecar_settings.frames;
  upstream.slots = sidecar_settings.slots;
  upstream.weight = sidecar_settings.weight;
  upstream.data_center = settings.data_center;
  key_ = membership::AnnouncementKey(sidecar_settings.service,
                                     sidecar_settings.id);
  RAND_bytes(reinterpret_cast<unsigned char*>(&announcement_.writer),
             sizeof announcement_.writer);
}

std::optional<AnnouncementStore::Stored> AnnouncementStore::Read(
    const std::string& key, LastReason<DaemonError>& reason) {
  LastReason<consul::ConsulError> store_reason;
  const auto found = client_.Get(key, store_reason);
  if (!found) {
    reason.Set(DaemonError::kStore, store_reason.Message());
    return std::nullopt;
  }
  if (!found->value) return Stored{};
  LastReason<membership::MembershipError> ignored;
  return Stored{membership::DecodeAnnouncement(found->value->value, ignored),
                found->value->modify_index};
}

/// @return whether the write took effect, std::nullopt if the store didn't
///     answer and that is unknown.
std::optional<bool> AnnouncementStore::Write(const std::string& key,
                                             const Announcement& announcement,
                                             std::uint64_t index,
                                             LastReason<DaemonError>& reason) {
  LastReason<consul::ConsulError> store_reason;
  const auto result = client_.PutCas(
      key, membership::EncodeAnnouncement(announcement), index, store_reason);
  if (result && result->applied) return true;
  reason.Set(DaemonError::kStore,
             result ? "another process wrote " + key : store_reason.Message());
  if (result) return false;
  return std::nullopt;
}

bool AnnouncementStore::IsOwn(const Stored& stored) const {
  return stored.announcement &&
         stored.announcement->writer == announcement_.writer &&
         stored.announcement->upstream.incarnation >= incarnation();
}

std::optional<Incarnation> AnnouncementStore::Claim(
    LastReason<DaemonError>& reason) {
  const auto stored = Read(key_, reason);
  if (!stored) return std::nullopt;
  return ClaimAfter(*stored, reason);
}

std::optional<Incarnation> AnnouncementStore::ClaimAfter(
    const Stored& stored, LastReason<DaemonError>& reason) {
  // An earlier claim may have taken effect although its response was lost.
  const bool already_claimed =
      IsOwn(stored) && !stored.announcement->dead &&
      stored.announcement->upstream.incarnation == attempted_;
  if (already_claimed) {
    announcement_.upstream.incarnation = attempted_;
    return attempted_;
  }
  auto previous = std::max(attempted_, incarnation());
  if (stored.announcement) {
    previous = std::max(previous, stored.announcement->upstream.incarnation);
  }
  auto claim = announcement_;
  claim.dead = false;
  claim.started = std::chrono::system_clock::now();
  claim.upstream.incarnation =
      membership::NextIncarnation(previous, claim.started);
  attempted_ = claim.upstream.incarnation;
  if (!Write(key_, claim, stored.index, reason).value_or(false)) {
    return std::nullopt;
  }
  announcement_ = claim;
  return incarnation();
}

std::optional<LeaseStatus> AnnouncementStore::Confirm(
    LastReason<DaemonError>& reason) {
  const auto stored = Read(key_, reason);
  if (!stored) return std::nullopt;
  if (stored->announcement) {
    // An older one is of a process before this one: the store has lost the
    // claim of this process.
    const auto stored_incarnation = stored->announcement->upstream.incarnation;
    const bool older = stored_incarnation < incarnation();
    if (stored->announcement->writer != announcement_.writer && !older) {
      return LeaseStatus::kSuperseded;
    }
    const bool current = stored_incarnation == incarnation();
    if (current && !stored->announcement->dead) return LeaseStatus::kActive;
  }
  if (!ClaimAfter(*stored, reason)) return std::nullopt;
  return LeaseStatus::kReclaimed;
}

/// Overwrites the stored announcement if it is that of this process and not
/// marked dead.
/// @return false if the write has to be retried.
bool AnnouncementStore::WriteOwn(LastReason<DaemonError>& reason) {
  const auto stored = Read(key_, reason);
  if (!stored) return false;
  const bool held = IsOwn(*stored) && !stored->announcement->dead;
  if (held) return Write(key_, announcement_, stored->index, reason) == true;
  reason.Set(DaemonError::kStore,
             "another incarnation is announced at " + key_);
  return true;
}

bool AnnouncementStore::Announce(UpstreamState state,
                                 LastReason<DaemonError>& reason) {
  announcement_.upstream.state = state;
  return WriteOwn(reason);
}

bool AnnouncementStore::Withdraw(LastReason<DaemonError>& reason) {
  // The record is kept and marked dead, so that incarnation numbers keep
  // increasing.
  announcement_.dead = true;
  return WriteOwn(reason);
}

RecordOutcome AnnouncementStore::MarkDead(const membership::RecordDeath& death,
                                          LastReason<DaemonError>& reason) {
  const auto key = membership::AnnouncementKey(death.service, death.subject);
  auto stored = Read(key, reason);
  if (!stored) return RecordOutcome::kUnavailable;
  const bool current =
      stored->announcement && !stored->announcement->dead &&
      stored->announcement->upstream.incarnation == death.incarnation;
  if (!current) return RecordOutcome::kAlreadyRecorded;
  stored->announcement->dead = true;
  const auto written = Write(key, *stored->announcement, stored->index, reason);
  if (!written) return RecordOutcome::kUnavailable;
  return *written ? RecordOutcome::kWritten : RecordOutcome::kAlreadyRecorded;
}

}  // namespace cowslip::daemon
