#pragma once

#include <memory>
#include <optional>
#include <string>

#include "cowslip/consul.h"
#include "cowslip/daemon/daemon_error.h"
#include "cowslip/membership.h"
#include "cowslip/settings.h"

namespace cowslip::daemon {

/// What the store says about the own incarnation.
enum class Standing : std::uint8_t {
  kInForce,     ///< The incarnation is announced and alive.
  kClaimed,     ///< It was dead or gone; a new one was claimed.
  kSuperseded,  ///< Another process has taken the upstream id.
};

/// Writes announcements of upstreams to the store; for one thread.
class Announcer {
 public:
  static std::optional<Announcer> Create(
      const settings::DaemonSettings& settings,
      LastReason<DaemonError>& reason);

  /// Reads the latest incarnation and claims the one after it.
  /// @return std::nullopt if the store doesn't answer; try again.
  std::optional<Incarnation> Claim(LastReason<DaemonError>& reason);
  /// Reads the own announcement; claims a new incarnation if it is dead.
  /// @return std::nullopt if the store doesn't answer; try again.
  std::optional<Standing> Confirm(LastReason<DaemonError>& reason);
  /// Announces a state of the upstream.
  /// @return whether that is settled: written, or superseded.
  bool Announce(UpstreamState state, LastReason<DaemonError>& reason);
  /// Takes the announcement away.
  bool Withdraw(LastReason<DaemonError>& reason);
  /// Records the death of another upstream.
  membership::RecordOutcome Record(const membership::RecordDeath& death,
                                   LastReason<DaemonError>& reason);

  /// @return the incarnation claimed last.
  Incarnation incarnation() const { return announcement_.upstream.incarnation; }
  /// Ends the call in progress and all later ones; from any thread.
  void Cancel() { client_.Cancel(); }

 private:
  /// An announcement as the store has it.
  struct Stored {
    std::optional<membership::Announcement> announcement;
    std::uint64_t index = 0;
  };

  Announcer(const settings::DaemonSettings& settings,
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
  Incarnation attempted_{};  ///< Highest incarnation tried to claim.
  consul::StoreClient client_;
};

}  // namespace cowslip::daemon
