#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"

namespace cowslip::segment {

/// What a balancer knows of the sidecars from its own exchanges with them.
///
/// Answers the load pattern of a sidecar that dies or freezes: new connections
/// avoid it after two unanswered ones, without any list having changed.
class ContactBook {
 public:
  /// Unanswered openings in a row before new connections avoid a sidecar; one
  /// may be a lost datagram.
  static constexpr int kMissesUntilSilent = 2;
  /// Probes of a silent sidecar; a restart takes half a second and more.
  static constexpr std::chrono::milliseconds kProbeInterval{200};
  /// An expected wait older than this says nothing about the present.
  static constexpr std::chrono::milliseconds kWaitLifetime{1500};

  /// Free slots told longer ago are as good as unknown.
  static constexpr std::chrono::milliseconds kSlotsLifetime{300};

  void OnAck(InstanceAddress sidecar, const Ack& receipt, TimePoint now);
  void OnMiss(InstanceAddress sidecar, TimePoint now);
  /// The sidecar has restarted: what was known of it is void.
  void Forget(InstanceAddress sidecar) { contacts_.erase(sidecar); }

  bool IsSilent(InstanceAddress sidecar) const;
  /// @return false if its latest word was that it takes nothing new.
  bool IsOpen(InstanceAddress sidecar, bool listed_open) const;
  /// @return the wait that it last told, 0 if none is fresh.
  std::uint32_t ExpectedWaitUs(InstanceAddress sidecar, TimePoint now) const;
  /// Takes one of the free slots that a sidecar last told of.
  /// @return whether there was one, or the sidecar has not told anything
  /// lately.
  bool ClaimSlot(InstanceAddress sidecar, TimePoint now);
  /// @return silent sidecars to probe now.
  const std::vector<InstanceAddress>& TakeDueProbes(TimePoint now);

 private:
  struct Contact {
    int misses = 0;
    bool open = true;
    bool heard = false;
    std::uint32_t wait_us = 0;
    std::uint16_t free_slots = 0;
    TimePoint wait_at{};
    TimePoint probed{};
  };

  std::unordered_map<InstanceAddress, Contact> contacts_;
  std::vector<InstanceAddress> due_;
};

}  // namespace cowslip::segment
