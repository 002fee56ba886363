#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <utility>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/peers/message.h"
#include "cowslip/peers/peer_table.h"

namespace cowslip::peers {

/// A message on its way to an instance.
struct Outgoing {
  InstanceAddress to = 0;
  Message message;
};

/// What a message changed.
struct MembershipUpdate {
  std::vector<InstanceAddress> changed;  ///< Entries that are new or newer.
  std::vector<InstanceAddress> started;  ///< Among them, new starts.
  std::uint64_t config = 0;              ///< Version that the sender has.
  bool watching = false;                 ///< The sender watches the store.
};

/// Spreads entries between balancers, and from sidecars to them.
///
/// An instance tells a few balancers when its entry changes; those pass it on
/// to the others. Digests on regular messages mend what was lost.
class Gossip {
 public:
  /// Interval of regular messages.
  static constexpr std::chrono::milliseconds kInterval{300};
  /// Balancers that get each regular message.
  static constexpr std::size_t kFanout = 2;
  /// Balancers that an instance tells of a change itself.
  static constexpr std::size_t kDirectFanout = 3;
  /// Balancers that the first ones pass a change on to.
  static constexpr std::size_t kForwardFanout = 32;
  /// Interval of greetings until a balancer has answered.
  static constexpr std::chrono::milliseconds kGreetInterval{60};
  /// A table is sent to the same instance at most this often.
  static constexpr std::chrono::milliseconds kSyncInterval{400};

  Gossip(PeerEntry self, std::uint64_t seed);

  /// Instances that may be balancers, from the settings.
  void SetSeeds(std::vector<InstanceAddress> seeds) {
    seeds_ = std::move(seeds);
  }
  /// The lease under which the store holds the own entry.
  void SetLease(std::uint64_t lease) { self_.lease = lease; }
  /// Changes the own entry and tells the balancers.
  void SetOpen(bool open, std::uint64_t upstream, TimePoint now);
  /// There is no upstream beside this sidecar, until SetOpen() says more.
  void SetNoUpstream(TimePoint now);
  void Leave(TimePoint now);
  /// What regular messages say of the configuration.
  void SetConfig(std::uint64_t config, bool watching);
  /// The store was heard to hold this version as its newest.
  void OnStoreVersion(std::uint64_t config, TimePoint now);
  /// All entries that the store holds.
  MembershipUpdate OnStoreSnapshot(std::span<const PeerEntry> entries,
                                   TimePoint now);
  void Remove(InstanceAddress address) { table_.Remove(address); }

  MembershipUpdate OnMessage(const Message& message, TimePoint now);
  void OnTick(TimePoint now);
  /// Tells all balancers now.
  void Broadcast();
  /// @return messages to send; empty afterwards.
  std::vector<Outgoing> TakeOutgoing() { return std::exchange(outgoing_, {}); }

  const PeerTable& table() const { return table_; }
  const PeerEntry& self() const { return self_; }
  /// @return the entry of an earlier process of this instance, if one was met.
  const std::optional<PeerEntry>& predecessor() const { return predecessor_; }
  bool connected() const { return greeted_; }
  /// @return whether the table holds all that the store did, read by this
  ///     instance or by one that told it.
  bool complete() const { return complete_; }
  std::uint64_t verified_config() const { return verified_config_; }
  /// @return time since the store was last heard by any balancer.
  Duration VerifiedAge(TimePoint now) const { return now - verified_; }

 private:
  void TellSelf();
  void Announce(const PeerEntry& entry);
  void TellPredecessor(const PeerEntry& entry);
  Message MakeMessage(TimePoint now) const;
  void SendAll(InstanceAddress to, bool to_balancer, TimePoint now);
  std::vector<InstanceAddress> PickBalancers(std::size_t count);
  void MergeEntry(const PeerEntry& entry, MembershipUpdate& news);

  PeerEntry self_;
  std::optional<PeerEntry> predecessor_;
  PeerTable table_;
  std::mt19937_64 random_;
  std::vector<InstanceAddress> seeds_;
  std::vector<Outgoing> outgoing_;
  std::map<InstanceAddress, TimePoint> synced_;
  bool greeted_ = false;  ///< A balancer has answered since the start.
  bool complete_ = false;
  bool watching_ = false;
  std::uint64_t config_ = 0;
  std::uint64_t verified_config_ = 0;
  TimePoint verified_{};
  TimePoint now_{};
  TimePoint sent_{};
};

}  // namespace cowslip::peers
