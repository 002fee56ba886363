#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
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
  /// Limits of reported values. A report beyond them is a fault of its sender;
  /// without limits it would rule out a member, or attract all connections.
  static constexpr std::chrono::microseconds kMaxExpectedWait{
      std::chrono::seconds(60)};
  static constexpr std::uint16_t kMaxFreeSlots = 64;

  /// Age at which a report without free slots is asked for again. By then the
  /// callers whose resets used the slots have tried again.
  static constexpr std::chrono::milliseconds kReportRequestAge{50};

  void OnAck(InstanceAddress sidecar, const Ack& ack, TimePoint now);
  /// A packet to the sidecar was not acknowledged in time.
  void OnTimeout(InstanceAddress sidecar, TimePoint now);
  /// A sidecar has published that it accepts new connections. Its last
  /// acknowledgement may say otherwise, and there is no further one while it
  /// gets no packets.
  void OnListedOpen(InstanceAddress sidecar);
  /// Discards the state of a sidecar that has restarted.
  void Erase(InstanceAddress sidecar) { contacts_.erase(sidecar); }

  /// @return whether the sidecar is unresponsive.
  bool IsUnresponsive(InstanceAddress sidecar) const;
  /// @return whether a sidecar accepts new connections: as of its last
  /// acknowledgement, or `listed_open` if there is none. A sidecar that was
  /// closed gets no connections and so sends no acknowledgement when it opens
  /// again; after kExpectedWaitLifetime, `listed_open` counts.
  bool IsOpen(InstanceAddress sidecar, bool listed_open, TimePoint now) const;
  /// @return the expected wait that the sidecar last reported, 0 if there is no
  /// recent report.
  std::uint32_t ExpectedWaitUs(InstanceAddress sidecar, TimePoint now) const;
  /// @return the expected wait that the sidecar last reported, std::nullopt if
  /// there is no recent report.
  std::optional<std::chrono::microseconds> RecentWait(InstanceAddress sidecar,
                                                      TimePoint now) const;
  /// A new connection was sent to the sidecar.
  void Reserve(InstanceAddress sidecar, TimePoint now);
  /// @return the connections sent to the sidecar since its last report, 0 if
  /// they are so old that no report will count them.
  std::uint32_t Reservations(InstanceAddress sidecar, TimePoint now) const;
  /// @return the capacity that a responsive sidecar has reported lately, less
  /// what was reserved since; 0 without a recent report.
  std::uint16_t Capacity(InstanceAddress sidecar, TimePoint now) const;
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
    /// When wait_us was reported. ClaimSlot() moves reported_at.
    std::optional<TimePoint> wait_reported_at;
    TimePoint last_probe{};
    /// Connections sent to it since the last report, and the time of the last.
    std::uint32_t reservations = 0;
    TimePoint reserved_at{};
  };

  /// Takes the first kMaxProbes of due_ and notes when they were probed.
  const std::vector<InstanceAddress>& TakeProbes(TimePoint now);

  std::unordered_map<InstanceAddress, Contact> contacts_;
  std::vector<std::pair<TimePoint, InstanceAddress>> report_requests_;
  std::vector<std::pair<TimePoint, InstanceAddress>> due_;
  std::vector<InstanceAddress> due_probes_;
};

}  // namespace cowslip::segment
