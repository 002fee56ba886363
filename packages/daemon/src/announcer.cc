#include "cowslip/daemon/announcer.h"

#include <openssl/rand.h>

#include <algorithm>

#include "store_options.h"

namespace cowslip::daemon {

using membership::Announcement;
using membership::RecordOutcome;

std::optional<Announcer> Announcer::Create(
    const settings::DaemonSettings& settings, LastReason<DaemonError>& reason) {
  LastReason<consul::ConsulError> fault;
  auto client = consul::StoreClient::Create(ToOptions(settings.store), fault);
  if (client) return Announcer(settings, std::move(*client));
  reason.Set(DaemonError::kStore, fault.Message());
  return std::nullopt;
}

Announcer::Announcer(const settings::DaemonSettings& settings,
                     consul::StoreClient client)
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
  RAND_bytes(reinterpret_cast<unsigned char*>(&announcement_.writer),
             sizeof announcement_.writer);
}

std::optional<Announcer::Stored> Announcer::Read(
    const std::string& key, LastReason<DaemonError>& reason) {
  LastReason<consul::ConsulError> fault;
  const auto found = client_.Get(key, fault);
  if (!found) {
    reason.Set(DaemonError::kStore, fault.Message());
    return std::nullopt;
  }
  if (!found->value) return Stored{};
  LastReason<membership::MembershipError> unread;
  return Stored{membership::DecodeAnnouncement(found->value->value, unread),
                found->value->modify_index};
}

/// @return whether the write took effect, std::nullopt if that isn't known.
std::optional<bool> Announcer::Write(const std::string& key,
                                     const Announcement& announcement,
                                     std::uint64_t index,
                                     LastReason<DaemonError>& reason) {
  LastReason<consul::ConsulError> fault;
  const auto result = client_.PutCas(
      key, membership::EncodeAnnouncement(announcement), index, fault);
  if (result && result->applied) return true;
  reason.Set(DaemonError::kStore,
             result ? "another process wrote " + key : fault.Message());
  if (result) return false;
  return std::nullopt;
}

bool Announcer::IsOwn(const Stored& stored) const {
  return stored.announcement &&
         stored.announcement->writer == announcement_.writer &&
         stored.announcement->upstream.incarnation >= incarnation();
}

std::optional<Incarnation> Announcer::Claim(LastReason<DaemonError>& reason) {
  const auto stored = Read(key_, reason);
  if (!stored) return std::nullopt;
  return ClaimAfter(*stored, reason);
}

std::optional<Incarnation> Announcer::ClaimAfter(
    const Stored& stored, LastReason<DaemonError>& reason) {
  // An earlier claim may have taken effect while its answer was lost.
  const bool lost_answer =
      IsOwn(stored) && !stored.announcement->dead &&
      stored.announcement->upstream.incarnation == attempted_;
  if (lost_answer) {
    announcement_.upstream.incarnation = attempted_;
    return attempted_;
  }
  auto previous = std::max(attempted_, incarnation());
  if (stored.announcement) {
    previous = std::max(previous, stored.announcement->upstream.incarnation);
  }
  auto claim = announcement_;
  claim.dead = false;
  claim.upstream.incarnation = Incarnation(Raw(previous) + 1);
  claim.started = std::chrono::system_clock::now();
  attempted_ = claim.upstream.incarnation;
  if (!Write(key_, claim, stored.index, reason).value_or(false)) {
    return std::nullopt;
  }
  announcement_ = claim;
  return incarnation();
}

std::optional<Standing> Announcer::Confirm(LastReason<DaemonError>& reason) {
  const auto stored = Read(key_, reason);
  if (!stored) return std::nullopt;
  if (stored->announcement) {
    if (stored->announcement->writer != announcement_.writer) {
      return Standing::kSuperseded;
    }
    const bool current =
        stored->announcement->upstream.incarnation == incarnation();
    if (current && !stored->announcement->dead) return Standing::kInForce;
  }
  if (!ClaimAfter(*stored, reason)) return std::nullopt;
  return Standing::kClaimed;
}

/// Writes the own announcement over the stored one of the same incarnation.
bool Announcer::WriteOwn(LastReason<DaemonError>& reason) {
  const auto stored = Read(key_, reason);
  if (!stored) return false;
  const bool held = IsOwn(*stored) && !stored->announcement->dead;
  if (held) return Write(key_, announcement_, stored->index, reason) == true;
  reason.Set(DaemonError::kStore, "another incarnation holds " + key_);
  return true;
}

bool Announcer::Announce(UpstreamState state, LastReason<DaemonError>& reason) {
  announcement_.upstream.state = state;
  return WriteOwn(reason);
}

bool Announcer::Withdraw(LastReason<DaemonError>& reason) {
  // The record stays, marked dead, so that incarnations keep rising.
  announcement_.dead = true;
  return WriteOwn(reason);
}

RecordOutcome Announcer::Record(const membership::RecordDeath& death,
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
