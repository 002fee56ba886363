#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <vector>

#include "cowslip/daemon/daemon_error.h"
#include "cowslip/daemon/membership_thread.h"
#include "cowslip/daemon/pause_guard.h"
#include "cowslip/daemon/poller.h"
#include "cowslip/daemon/view_publisher.h"
#include "cowslip/engine.h"
#include "cowslip/link.h"
#include "cowslip/settings.h"

namespace cowslip::daemon {

/// A claimed incarnation and when the claim was started; its lease counts from
/// then.
struct IncarnationClaim {
  Incarnation incarnation{};
  TimePoint start_time{};
};

/// Event loop of the traffic thread of a sidecar.
///
/// Receives frames of balancers and sidecars and datagrams of the upstream,
/// passes them to an engine::Sidecar, and sends what it returns. Each flow has
/// its own socket to the upstream. Store requests are sent by the membership
/// thread.
class SidecarLoop {
 public:
  static std::unique_ptr<SidecarLoop> Create(
      const settings::DaemonSettings& settings, const IncarnationClaim& claim,
      ViewPublisher& views, MembershipThread& membership_thread,
      LastReason<DaemonError>& reason);

  /// Runs until Stop(); blocks the calling thread.
  void Run();
  /// Callable from any thread.
  void Stop() { stopping_ = true; }
  /// Starts the drain: no new flow is accepted. Callable from any thread.
  void RequestDrain() { drain_requested_ = true; }
  /// @return number of flows and runs that a drain waits for.
  std::size_t remaining_work() const { return remaining_work_; }
  /// @return number of permitted requests that the upstream is running.
  std::size_t runs_in_progress() const { return runs_in_progress_; }
  /// @return whether the incarnation may take work; after the last iteration of
  ///     the loop, as all values here.
  membership::LeaseState lease() const { return lease_; }
  bool upstream_down() const { return upstream_down_; }
  const engine::Counters& counters() const { return sidecar_.counters(); }
  /// @return number of datagrams dropped as unrelated, forged, truncated, too
  ///     large or too old, while the pause guard rejected datagrams, or because
  ///     they could not be sent to the upstream.
  std::uint64_t dropped() const { return dropped_; }

 private:
  SidecarLoop(const settings::DaemonSettings& settings, ViewPublisher& views,
              MembershipThread& membership_thread, engine::Sidecar sidecar,
              link::FrameCodec codec, link::DatagramSocket frames);

  void ApplyView(TimePoint now);
  void ReadFrames(TimePoint now);
  void ReadUpstream(flow::FlowSlot slot, TimePoint now);
  void ApplyEffects();
  void HandleResults(TimePoint now);
  void OnLeaseResult(const LeaseResult& result, TimePoint now);
  void PostMembershipRequests();
  void ProbeUpstream(ByteView probe);
  void ReadProbeSocket(TimePoint now);
  link::DatagramSocket* UpstreamSocket(flow::FlowSlot slot);
  void CloseUpstream(flow::FlowSlot slot);

  const settings::DaemonSettings& settings_;
  ViewPublisher& views_;
  MembershipThread& membership_;
  engine::Sidecar sidecar_;
  link::FrameCodec codec_;
  link::DatagramSocket frames_;
  Poller poller_;
  PauseGuard pause_guard_{views_};
  /// Sockets to the upstream, by flow slot.
  std::vector<std::optional<link::DatagramSocket>> upstream_sockets_;
  std::optional<link::DatagramSocket> probe_socket_;
  link::ReceiveBatch receive_;
  link::SendBatch send_;
  engine::SidecarEffects effects_;
  std::uint64_t epoch_ = 0;  ///< Of the view in use.
  std::atomic<bool> stopping_{false};
  std::atomic<bool> drain_requested_{false};
  std::atomic<std::size_t> remaining_work_{0};
  std::atomic<std::size_t> runs_in_progress_{0};
  std::atomic<membership::LeaseState> lease_{membership::LeaseState::kHeld};
  std::atomic<bool> upstream_down_{false};
  std::atomic<std::uint64_t> dropped_{0};
};

}  // namespace cowslip::daemon
