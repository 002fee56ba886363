#pragma once

#include <chrono>
#include <optional>

#include "cowslip/base.h"
#include "cowslip/segment/segment.h"
#include "cowslip/segment/upstream_liveness_timer.h"
#include "cowslip/segment/upstream_port.h"

namespace cowslip::segment {

/// Decides whether a sidecar has an upstream process.
///
/// An upstream from which nothing comes for two reports is silent and gets no
/// new connections. It is also absent, and its flows are lost, unless its port
/// shows that it still exists.
class UpstreamPresence {
 public:
  /// Time without any sign of the upstream after which it is absent although
  /// its port is open: its flows have ended, and an entry in the store has
  /// expired.
  static constexpr std::chrono::seconds kMaxSilence{kMaxFlowAge};

  void SetReportInterval(std::chrono::milliseconds interval) {
    timer_.SetReportInterval(interval);
  }
  /// A report arrived. @param new_process whether it is the first one of an
  /// upstream process.
  void OnReport(bool new_process) {
    timer_.OnReport();
    port_.OnReport(new_process);
  }
  /// The upstream has returned a packet.
  void OnReturned() { timer_.OnReturned(); }
  /// A packet of the upstream arrived.
  void OnActivity() { timer_.OnActivity(); }
  void OnTick(TimePoint now) {
    const auto elapsed = timer_.OnTick(now);
    port_.OnTick(elapsed, timer_.is_overdue());
  }

  /// @return whether the socket at the upstream's address is to be looked up.
  bool PortLookupIsDue() const { return port_.LookupIsDue(); }
  /// Handles the result of a look-up, see UpstreamPort.
  void OnPortLookup(std::optional<SocketId> socket) { port_.OnLookup(socket); }
  /// An earlier process on this instance has seen the port closed.
  void AdoptPortTracking() { port_.AdoptTracking(); }
  bool port_tracks_upstream() const { return port_.tracks_upstream(); }

  /// @return whether nothing has come from the upstream for too long.
  bool is_silent() const { return timer_.is_missing(); }
  /// @return whether there is no upstream process, so no flow is open there.
  bool is_absent() const {
    return timer_.is_missing() &&
           (!port_.ShowsLife() || timer_.idle_time() > kMaxSilence);
  }

 private:
  UpstreamLivenessTimer timer_;
  UpstreamPort port_;
};

}  // namespace cowslip::segment
