#pragma once

#include <memory>
#include <optional>
#include <string>

#include "cowslip/consul.h"
#include "cowslip/daemon/daemon_error.h"
#include "cowslip/membership.h"
#include "cowslip/settings.h"

namespace cowslip::daemon {

/// Result of comparing the announcement in the store with the incarnation of
/// this process.
enum class LeaseStatus : std::uint8_t {
  kActive,      ///< The store holds this incarnation, not marked dead.
  kReclaimed,   ///< It was marked dead or missing; a new one was claimed.
  kSuperseded,  ///< Another process has claimed the upstream id.
};

/// Reads and writes upstream announcements in the store.
///
/// An announcement is the store record of one upstream: its sidecar's address,
/// capacity, state and incarnation. All writes are compare-and-set. Not
/// thread-safe, apart from Cancel().
class AnnouncementStore {
 public:
  static std::optional<AnnouncementStore> Create(
      const settings::DaemonSettings& settings,
      LastReason<DaemonError>& reason);

  /// Claims an incarnation above the one in the store.
  /// @return std::nullopt if the claim was not confirmed (store unreachable, or
  ///     another process wrote first); the caller retries.
  std::optional<Incarnation> Claim(LastReason<DaemonError>& reason);
  /// Checks that the announcement in the store is still that of this process;
  /// claims a new incarnation if it was marked dead or is missing.
  /// @return std::nullopt if the store doesn't answer or a claim was not
  ///     confirmed; the caller retries.
  std::optional<LeaseStatus> Confirm(LastReason<DaemonError>& reason);
  /// Writes the state of the upstream to its announcement.
  /// @return false if the write has to be retried; true if it was written or
  ///     another incarnation is announced.
  bool Announce(UpstreamState state, LastReason<DaemonError>& reason);
  /// Marks the announcement dead. Returns as Announce() does.
  bool Withdraw(LastReason<DaemonError>& reason);
  /// Marks the announcement of another upstream dead, if the store still holds
  /// the given incarnation.
  membership::RecordOutcome MarkDead(const membership::RecordDeath& death,
                                     LastReason<DaemonError>& reason);

  /// @return the incarnation of the last confirmed claim.
  Incarnation incarnation() const { return announcement_.upstream.incarnation; }
  /// Aborts the store request in progress and fails all later ones. Callable
  /// from any thread.
  void Cancel() { client_.Cancel(); }

 private:
  /// An announcement in the store; empty if missing or not decodable.
  struct Stored {
    std::optional<membership::Announcement> announcement;
    std::uint64_t index = 0;  ///< Modify index for compare-and-set.
  };

  AnnouncementStore(const settings::DaemonSettings& settings,
                    consul::StoreClient client);
  std::optional<Stored> Read(const std::string& key,
                             LastReason<DaemonError>& reason);
  bool IsOwn(const Stored& stored) const;
  std::optional<Incarnation> ClaimAfter(const Stored& stored,
                                        LastReason<DaemonError>& reason);
  std::optional<bool> Write(const std::string& key,
                            const membership::Announcement& announcement,
                            std::uint64_t index,
                            LastReason<DaemonError>& reason);
  bool WriteOwn(LastReason<DaemonError>& reason);

  std::string key_;
  membership::Announcement announcement_;
  Incarnation attempted_{};  ///< Highest incarnation of any claim sent.
  consul::StoreClient client_;
};

}  // namespace cowslip::daemon
