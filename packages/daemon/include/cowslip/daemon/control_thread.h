#pragma once

#include <atomic>
#include <memory>
#include <string_view>
#include <thread>

#include "cowslip/daemon/control_state.h"
#include "cowslip/daemon/control_stats.h"
#include "cowslip/daemon/daemon_error.h"
#include "cowslip/daemon/view_cell.h"
#include "cowslip/relay.h"
#include "cowslip/settings.h"

namespace cowslip::daemon {

class Mailbox;
class RelayShell;
class StoreCalls;
class StoreWatch;

/// Follows tickets and announcements, by peers or the store, and publishes
/// views.
class ControlThread {
 public:
  static std::unique_ptr<ControlThread> Start(
      const settings::DaemonSettings& settings, ViewCell& views,
      LastReason<DaemonError>& reason);
  ~ControlThread();

  /// @return whether tickets can come from the store, at first hand or by
  ///     peers.
  bool store_reachable() const { return stats_.store_reachable; }
  TicketNumber ticket() const { return TicketNumber(stats_.ticket.load()); }
  const ControlStats& stats() const { return stats_; }
  /// @return why no ticket is in force, for operators.
  std::string_view NoTicketReason() const;

 private:
  explicit ControlThread(ViewCell& views);
  bool Open(const settings::DaemonSettings& settings,
            LastReason<DaemonError>& reason);
  void Run();
  void HandleMail();
  void CarryOut();
  void LogEffects();
  void Publish();
  void UpdateStats();
  void WarnWithoutTicket(TimePoint now);

  ViewCell& views_;
  ControlStats stats_;
  ControlState state_;
  std::unique_ptr<Mailbox> mailbox_;
  std::unique_ptr<RelayShell> relay_;
  std::unique_ptr<StoreWatch> watch_;
  std::unique_ptr<StoreCalls> calls_;
  bool store_lost_ = false;
  TimePoint warn_at_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace cowslip::daemon
