#pragma once

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"

namespace cowslip::segment {

/// State of each sidecar as one balancer sees it, from acknowledgements and
/// time-outs.
///
/// Handles sidecars that crash or freeze: new connections avoid a sidecar after
/// two unacknowledged packets, before any member list has changed.
class SidecarStateTable {
 public:
  /// Consecutive unacknowledged packets after which a sidecar counts as
  /// unresponsive. One may be due to a lost datagram.
  static constexpr int kMaxMisses = 2;
  /// Interval of probes to an unresponsive sidecar. A restart takes at least
  /// half a second.
  static constexpr std::chrono::milliseconds kProbeInterval{200};
  /// Probes at one time. More unresponsive sidecars are probed in turn, so that
  /// probes don't grow with their number.
  static constexpr std::size_t kMaxProbes = 4;
  /// Age at which a reported expected wait is discarded as outdated.
  static constexpr std::chrono::milliseconds kExpectedWaitLifetime{1500};
  /// Age at which a reported number of free slots is discarded as outdated.
  static constexpr std::chrono::milliseconds kFreeSlotsLifetime{300};

  /// Age at which a report without free slots is asked for again. By then the
  /// callers whose resets used the slots have tried again.
  static constexpr std::chrono::milliseconds kReportRequestAge{50};

  void OnAck(InstanceAddress sidecar, const Ack& ack, TimePoint now);
  /// A packet to the sidecar was not acknowledged in time.
  void OnTimeout(InstanceAddress sidecar, TimePoint now);
  /// Discards the state of a sidecar that has restarted.
  void Erase(InstanceAddress sidecar) { contacts_.erase(sidecar); }

  /// @return whether the sidecar is unresponsive.
  bool IsUnresponsive(InstanceAddress sidecar) const;
  /// @return whether a sidecar accepts new connections: as of its last
  /// acknowledgement, or `listed_open` if there is none.
  bool IsOpen(InstanceAddress sidecar, bool listed_open) const;
  /// @return the expected wait that the sidecar last reported, 0 if there is no
  /// recent report.
  std::uint32_t ExpectedWaitUs(InstanceAddress sidecar, TimePoint now) const;
  /// Reserves one of the free slots that a sidecar last reported.
  /// @return whether a slot was free, or there is no recent report.
  bool ClaimSlot(InstanceAddress sidecar, TimePoint now);
  /// Lost flows wait for a free slot of this sidecar: it is asked for a report
  /// if the last one is older than kReportRequestAge.
  void ConsiderReportRequest(InstanceAddress sidecar, TimePoint now);
  /// @return the sidecars to ask for a report now, those with the oldest report
  /// first, at most kMaxProbes.
  const std::vector<InstanceAddress>& TakeReportRequests(TimePoint now);
  /// @return the unresponsive sidecars to probe now, those that have waited
  /// longest, at most kMaxProbes.
  const std::vector<InstanceAddress>& TakeDueProbes(TimePoint now);

 private:
  /// Latest exchanges with one sidecar.
  struct Contact {
    int misses = 0;  ///< Consecutive packets without an acknowledgement.
    bool open = true;
    bool has_report = false;
    std::uint32_t wait_us = 0;
    std::uint16_t free_slots = 0;
    TimePoint reported_at{};
    TimePoint last_probe{};
  };

  /// Takes the first kMaxProbes of due_ and notes when they were probed.
  const std::vector<InstanceAddress>& TakeProbes(TimePoint now);

  std::unordered_map<InstanceAddress, Contact> contacts_;
  std::vector<std::pair<TimePoint, InstanceAddress>> report_requests_;
  std::vector<std::pair<TimePoint, InstanceAddress>> due_;
  std::vector<InstanceAddress> due_probes_;
};

}  // namespace cowslip::segment
