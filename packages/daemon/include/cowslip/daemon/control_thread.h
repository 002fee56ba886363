#pragma once

#include <atomic>
#include <memory>
#include <thread>

#include "cowslip/daemon/control_state.h"
#include "cowslip/daemon/daemon_error.h"
#include "cowslip/daemon/view_cell.h"
#include "cowslip/settings.h"

namespace cowslip::daemon {

/// Follows the store and publishes views.
class ControlThread {
 public:
  static std::unique_ptr<ControlThread> Start(
      const settings::StoreSettings& store, ViewCell& views,
      LastReason<DaemonError>& reason);
  ~ControlThread();

  /// @return whether the last call to the store was answered.
  bool store_reachable() const { return reachable_; }
  TicketNumber ticket() const { return TicketNumber(ticket_.load()); }

 private:
  ControlThread(platform::StoreClient client, ViewCell& views);
  void Run();
  void Publish();

  platform::StoreClient client_;
  ViewCell& views_;
  ControlState state_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> reachable_{false};
  std::atomic<std::uint64_t> ticket_{0};
  std::thread thread_;
};

}  // namespace cowslip::daemon
