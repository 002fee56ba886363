#pragma once

#include <atomic>
#include <memory>
#include <string_view>
#include <thread>

#include "cowslip/daemon/control_stats.h"
#include "cowslip/daemon/daemon_error.h"
#include "cowslip/daemon/view_builder.h"
#include "cowslip/daemon/view_publisher.h"
#include "cowslip/relay.h"
#include "cowslip/settings.h"

namespace cowslip::daemon {

class StoreEventQueue;
class RelayTransport;
class StoreRequests;
class StoreWatch;

/// Keeps the configuration and membership of a process up to date.
///
/// Receives tickets (numbered configuration changes) and upstream announcements
/// from the store or from peers, forwards them to other peers, and publishes
/// membership views for the traffic threads.
class ControlThread {
 public:
  static std::unique_ptr<ControlThread> Start(
      const settings::DaemonSettings& settings, ViewPublisher& views,
      LastReason<DaemonError>& reason);
  ~ControlThread();

  /// @return whether new tickets can arrive from the store, directly or through
  ///     peers.
  bool store_reachable() const { return stats_.store_reachable; }
  TicketNumber ticket() const { return TicketNumber(stats_.ticket.load()); }
  const ControlStats& stats() const { return stats_; }
  /// @return why no ticket is in force, as a message for operators.
  std::string_view NoTicketReason() const;

 private:
  explicit ControlThread(ViewPublisher& views);
  bool Open(const settings::DaemonSettings& settings,
            LastReason<DaemonError>& reason);
  void Run();
  void HandleStoreEvents();
  void ApplyEffects();
  void LogEffects();
  void Publish();
  void UpdateStats();
  void WarnWithoutTicket(TimePoint now);

  ViewPublisher& views_;
  ControlStats stats_;
  ViewBuilder state_;
  std::unique_ptr<StoreEventQueue> store_events_;
  std::unique_ptr<RelayTransport> transport_;
  std::unique_ptr<StoreWatch> store_watch_;
  std::unique_ptr<StoreRequests> store_requests_;
  bool store_lost_ = false;  ///< The watch has failed since the last listing.
  TimePoint warn_at_;        ///< Earliest time of the next "no_ticket" warning.
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace cowslip::daemon
