#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <vector>

#include "cowslip/daemon/daemon_error.h"
#include "cowslip/daemon/membership_thread.h"
#include "cowslip/daemon/pause_gate.h"
#include "cowslip/daemon/poller.h"
#include "cowslip/daemon/view_cell.h"
#include "cowslip/engine.h"
#include "cowslip/link.h"
#include "cowslip/settings.h"

namespace cowslip::daemon {

/// An incarnation and when its claim was begun.
struct Claimed {
  Incarnation incarnation{};
  TimePoint begun{};
};

/// The traffic thread of a sidecar: sockets round an engine::Sidecar.
class SidecarLoop {
 public:
  static std::unique_ptr<SidecarLoop> Create(
      const settings::DaemonSettings& settings, const Claimed& claimed,
      ViewCell& views, MembershipThread& members,
      LastReason<DaemonError>& reason);

  /// Runs until Stop(); call it on the thread's own stack.
  void Run();
  /// Callable from any thread.
  void Stop() { stopping_ = true; }
  /// Stops adopting flows. Callable from any thread.
  void Drain() { drain_requested_ = true; }
  /// @return flows and runs that a drain waits for.
  std::size_t remaining() const { return remaining_; }
  /// @return permitted requests that the upstream is running.
  std::size_t runs() const { return runs_; }
  membership::LeaseState lease() const { return lease_; }
  bool upstream_down() const { return upstream_down_; }
  const engine::Counters& counters() const { return sidecar_.counters(); }
  std::uint64_t dropped() const { return dropped_; }

 private:
  SidecarLoop(const settings::DaemonSettings& settings, ViewCell& views,
              MembershipThread& members, engine::Sidecar sidecar,
              link::FrameCodec codec, link::DatagramSocket frames);

  void AdoptView(TimePoint now);
  void ReadFrames(TimePoint now);
  void ReadUpstream(flow::FlowSlot slot, TimePoint now);
  void CarryOut();
  void TakeAnswers(TimePoint now);
  void OnLeaseAnswer(const LeaseAnswer& answer, TimePoint now);
  void PostRequests();
  void ProbeUpstream(ByteView probe);
  void ReadProbeSocket(TimePoint now);
  link::DatagramSocket* UpstreamSocket(flow::FlowSlot slot);
  void CloseUpstream(flow::FlowSlot slot);

  const settings::DaemonSettings& settings_;
  ViewCell& views_;
  MembershipThread& members_;
  engine::Sidecar sidecar_;
  link::FrameCodec codec_;
  link::DatagramSocket frames_;
  Poller poller_;
  PauseGate gate_{views_};
  std::vector<std::optional<link::DatagramSocket>> upstreams_;
  std::optional<link::DatagramSocket> probe_socket_;
  link::ReceiveBatch receive_;
  link::SendBatch send_;
  engine::SidecarEffects effects_;
  std::uint64_t epoch_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> drain_requested_{false};
  std::atomic<std::size_t> remaining_{0};
  std::atomic<std::size_t> runs_{0};
  std::atomic<membership::LeaseState> lease_{membership::LeaseState::kHeld};
  std::atomic<bool> upstream_down_{false};
  std::atomic<std::uint64_t> dropped_{0};
};

}  // namespace cowslip::daemon
