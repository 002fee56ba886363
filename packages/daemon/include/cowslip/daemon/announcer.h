#pragma once

#include <memory>
#include <optional>

#include "cowslip/daemon/daemon_error.h"
#include "cowslip/membership.h"
#include "cowslip/platform.h"
#include "cowslip/settings.h"

namespace cowslip::daemon {

/// Writes the announcement of one upstream to the store.
class Announcer {
 public:
  static std::optional<Announcer> Create(
      const settings::DaemonSettings& settings,
      LastReason<DaemonError>& reason);

  /// Reads the latest incarnation and claims the one after it.
  /// @return std::nullopt if the store doesn't answer; try again.
  std::optional<Incarnation> Claim(LastReason<DaemonError>& reason);
  /// Announces that the upstream adopts no new flows.
  bool AnnounceDraining(LastReason<DaemonError>& reason);
  /// Takes the announcement away.
  bool Withdraw(LastReason<DaemonError>& reason);

 private:
  Announcer(const settings::DaemonSettings& settings,
            platform::StoreClient client);
  bool Write(std::uint64_t index, LastReason<DaemonError>& reason);
  std::optional<std::uint64_t> OwnIndex(LastReason<DaemonError>& reason);

  std::string key_;
  membership::Announcement announcement_;
  platform::StoreClient client_;
};

}  // namespace cowslip::daemon
