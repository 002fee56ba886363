#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "cowslip/daemon/daemon_error.h"
#include "cowslip/daemon/pause_gate.h"
#include "cowslip/daemon/poller.h"
#include "cowslip/daemon/view_cell.h"
#include "cowslip/engine.h"
#include "cowslip/link.h"
#include "cowslip/settings.h"

namespace cowslip::daemon {

/// One traffic thread of a balancer: sockets round an engine::Balancer.
class BalancerLoop {
 public:
  /// @param thread index of the thread, which offsets the frame port.
  static std::unique_ptr<BalancerLoop> Create(
      const settings::DaemonSettings& settings, std::uint32_t thread,
      ViewCell& views, LastReason<DaemonError>& reason);

  /// Runs until Stop(); call it on the thread's own stack.
  void Run();
  /// Callable from any thread.
  void Stop() { stopping_ = true; }
  /// Asks sidecars to send replies elsewhere. Callable from any thread.
  void Drain() { drain_requested_ = true; }
  const engine::Counters& counters() const { return balancer_.counters(); }
  /// @return datagrams dropped as foreign, forged, truncated or too old.
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct Entry {
    Endpoint service;
    link::DatagramSocket socket;
  };

  BalancerLoop(const settings::DaemonSettings& settings, ViewCell& views,
               engine::Balancer balancer, link::FrameCodec codec,
               link::DatagramSocket frames);

  void AdoptView();
  void SyncEntries(const membership::View& view);
  Endpoint EntryAddress(const Endpoint& service) const;
  void ReadFrames(TimePoint now);
  void ReadCallers(const Entry& entry, TimePoint now);
  void CarryOut();

  const settings::DaemonSettings& settings_;
  ViewCell& views_;
  engine::Balancer balancer_;
  link::FrameCodec codec_;
  link::DatagramSocket frames_;
  Poller poller_;
  PauseGate gate_{views_};
  std::map<Endpoint, Entry> entries_;
  std::map<std::uint64_t, const Entry*> entries_by_tag_;
  std::uint64_t next_tag_ = 1;
  link::ReceiveBatch receive_;
  link::SendBatch send_;
  engine::BalancerEffects effects_;
  std::uint64_t epoch_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> drain_requested_{false};
  std::atomic<std::uint64_t> dropped_{0};
};

}  // namespace cowslip::daemon
