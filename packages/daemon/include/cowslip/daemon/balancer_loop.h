#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "cowslip/daemon/daemon_error.h"
#include "cowslip/daemon/pause_guard.h"
#include "cowslip/daemon/poller.h"
#include "cowslip/daemon/view_publisher.h"
#include "cowslip/engine.h"
#include "cowslip/link.h"
#include "cowslip/settings.h"

namespace cowslip::daemon {

/// Event loop of one traffic thread of a balancer.
///
/// Receives callers' datagrams and frames of sidecars, passes them to an
/// engine::Balancer, and sends what it returns. Applies new membership views
/// from the control thread.
class BalancerLoop {
 public:
  /// @param thread index of the thread; its frame port is the configured port
  ///     plus this index.
  static std::unique_ptr<BalancerLoop> Create(
      const settings::DaemonSettings& settings, std::uint32_t thread,
      ViewPublisher& views, LastReason<DaemonError>& reason);

  /// Runs until Stop(); blocks the calling thread.
  void Run();
  /// Callable from any thread.
  void Stop() { stopping_ = true; }
  /// Starts the drain: sidecars are asked to send replies through other
  /// balancers. Callable from any thread.
  void RequestDrain() { drain_requested_ = true; }
  const engine::Counters& counters() const { return balancer_.counters(); }
  /// @return number of datagrams dropped as unrelated, forged, truncated, too
  ///     large or too old, or while the pause guard rejected datagrams.
  std::uint64_t dropped() const { return dropped_; }

 private:
  /// Socket on which the datagrams of callers of one service arrive.
  struct Entry {
    Endpoint service;  ///< Address that callers use.
    link::DatagramSocket socket;
  };

  BalancerLoop(const settings::DaemonSettings& settings, ViewPublisher& views,
               engine::Balancer balancer, link::FrameCodec codec,
               link::DatagramSocket frames);

  void ApplyView();
  void SyncEntries(const membership::View& view);
  Endpoint EntryAddress(const Endpoint& service) const;
  void ReadFrames(TimePoint now);
  void ReadCallerDatagrams(const Entry& entry, TimePoint now);
  void ApplyEffects();

  const settings::DaemonSettings& settings_;
  ViewPublisher& views_;
  engine::Balancer balancer_;
  link::FrameCodec codec_;
  link::DatagramSocket frames_;
  Poller poller_;
  PauseGuard pause_guard_{views_};
  std::map<Endpoint, Entry> entries_;  ///< By service address.
  std::map<std::uint64_t, const Entry*> entries_by_tag_;
  std::uint64_t next_tag_ = 1;
  link::ReceiveBatch receive_;
  link::SendBatch send_;
  engine::BalancerEffects effects_;
  std::uint64_t epoch_ = 0;  ///< Of the view in use.
  std::atomic<bool> stopping_{false};
  std::atomic<bool> drain_requested_{false};
  std::atomic<std::uint64_t> dropped_{0};
};

}  // namespace cowslip::daemon
