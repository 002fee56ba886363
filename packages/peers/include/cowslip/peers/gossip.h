#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <utility>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/peers/byte_budget.h"
#include "cowslip/peers/change_forwarder.h"
#include "cowslip/peers/evacuation_exchange.h"
#include "cowslip/peers/message.h"
#include "cowslip/peers/peer_table.h"
#include "cowslip/peers/start_schedule.h"

namespace cowslip::peers {

/// A message that is to be sent to an instance.
struct Outgoing {
  InstanceAddress to = 0;
  Message message;
};

/// What a message, or a read of the store, changed in the table.
struct MembershipUpdate {
  /// Instances with a new or updated entry.
  std::vector<InstanceAddress> changed;
  /// Subset of `changed`: new instances and restarts.
  std::vector<InstanceAddress> started;
  ConfigVersion config;         ///< Configuration in force at the sender.
  std::uint64_t store_era = 0;  ///< Newest era that the sender has seen.
  bool watching = false;        ///< The sender watches the store.
  /// Entries that no instance can have written, and that were dropped.
  std::uint64_t refused = 0;
  /// The evacuation of some data centre has begun or ended.
  bool evacuations_changed = false;
  /// The sender asks to keep a copy of its configuration document.
  bool keep_document = false;
};

/// Gossip protocol that spreads the entries of all instances among the
/// balancers, and those of the balancers to the sidecars.
///
/// An instance publishes a change of its entry to a few balancers, which
/// forward it to the others. Digests in the heartbeats make up for lost
/// messages: two instances with different tables compare the digests of ranges
/// and exchange only the entries of ranges that differ.
class Gossip {
 public:
  /// Interval of heartbeats.
  static constexpr std::chrono::milliseconds kInterval{300};
  /// Balancers that receive each heartbeat.
  static constexpr std::size_t kFanout = 2;
  /// Balancers that an instance publishes its own changes to.
  static constexpr std::size_t kDirectFanout = 3;
  /// Balancers that a broadcast goes to.
  static constexpr std::size_t kForwardFanout = ChangeForwarder::kFanout;
  /// Part of the budget for changes that is kept for broadcasts and for changes
  /// after which an instance must not be used: one broadcast has 10 kB.
  static constexpr std::size_t kUrgentReserve = 16'000;
  /// Shortest interval at which an instance is offered a comparison, or sent
  /// the whole table.
  static constexpr std::chrono::milliseconds kSyncInterval{400};
  /// Buckets of which one message compares the parts; others follow with a
  /// later heartbeat.
  static constexpr std::size_t kMaxComparedBuckets = 20;
  /// Time until a range is asked for again.
  static constexpr std::chrono::milliseconds kAnswerTime{100};
  /// Ranges that one message asks for.
  static constexpr std::size_t kMaxWanted = 64;
  /// Repair messages per second and in a burst, about 1 kB each: a limit for
  /// the time after many instances have started at once.
  static constexpr double kRepairRate = 100;
  static constexpr double kRepairBurst = 200;

  /// Sidecars of a data centre that each balancer tells at once of a change of
  /// its evacuation; all sidecars learn of it with their next heartbeats.
  static constexpr std::size_t kSidecarFanout = 64;
  /// Copies of such a notice that each sidecar gets on average from all
  /// balancers together, where kSidecarFanout allows it: with 30 % loss, 3 % of
  /// the sidecars get none, and 0.1 % none of two notices.
  static constexpr std::size_t kNoticeCopies = 5;
  /// Balancers that each balancer which learns of a change from another one
  /// tells of it at once.
  static constexpr std::size_t kRelayFanout = 4;
  /// Delay of the second notice to sidecars, for the case that the first is
  /// lost.
  static constexpr std::chrono::milliseconds kSecondNoticeDelay{150};
  /// Total size of evacuated names, in bytes, up to which they are part of each
  /// message. Instances of builds before evacuations receive at most 2,048
  /// bytes; a message with 16 entries and 400 bytes of names has 1,800.
  static constexpr std::size_t kMaxInlineNames = 400;

  /// Limit of the time by which the clock of an instance may be ahead.
  /// Incarnations are times of day; one that is too high could never be
  /// superseded.
  static constexpr std::chrono::hours kMaxClockLead{365 * 24};

  Gossip(PeerEntry self, std::uint64_t seed);

  /// Sets the addresses that may be balancers, from the settings.
  void SetSeeds(std::vector<InstanceAddress> seeds) {
    seeds_ = std::move(seeds);
  }
  /// Sets the lease under which the store holds the own entry, and its era.
  void SetLease(std::uint64_t lease, std::uint64_t era) {
    self_.lease = lease;
    self_.lease_era = era;
  }
  /// Sets the newest era of the store that this instance has seen.
  void SetStoreEra(std::uint64_t era) {
    store_era_ = era;
    newest_store_era_ = std::max(newest_store_era_, era);
  }
  /// Updates the own entry and publishes it if it has changed; id is the
  /// incarnation of the upstream.
  void SetOpen(bool on, std::uint64_t id, TimePoint now);
  /// Publishes that this sidecar has no upstream, until the next SetOpen().
  void SetNoUpstream(TimePoint now);
  /// Sets PeerEntry::port_tracks_upstream. It is published with the next other
  /// change, so that it costs no message.
  void SetPortTracksUpstream(bool tracks) {
    self_.port_tracks_upstream = tracks;
  }
  /// Publishes that this instance is stopping as planned.
  void Leave(TimePoint now);
  /// Sets the configuration version and the watcher flag sent in messages.
  void SetConfig(const ConfigVersion& config, bool watching);
  /// Records that `config` was the newest number in the store at `now`.
  void OnStoreVersion(std::uint64_t config, TimePoint now);
  /// Merges the entries that the store holds. The table is complete afterwards,
  /// unless the store may have come back from a copy just now: then instances
  /// whose entries it has lost need some time to write them again, and the
  /// store has to be read once more after it.
  /// @param era of the store when it was read.
  MembershipUpdate OnStoreSnapshot(std::span<const PeerEntry> entries,
                                   std::uint64_t era, TimePoint now);
  /// The store holds these evacuations.
  /// @param current whether it was asked after the last suspension.
  void OnStoredEvacuations(const EvacuationSnapshot& stored, bool current,
                           TimePoint now);
  /// The process was suspended, so that what it knows may be outdated.
  void OnResume(TimePoint now) { evacuations_.OnResume(now); }
  /// Removes an instance that is missing from the store.
  void Remove(InstanceAddress address) { table_.Remove(address); }

  /// Handles a message of another instance.
  MembershipUpdate OnMessage(const Message& message, TimePoint now);
  /// Forwards changes, and sends heartbeats or hello messages when they are
  /// due. Call every few milliseconds.
  void OnTick(TimePoint now);
  /// Announces the configuration version to all balancers.
  void Broadcast() { BroadcastFor(MessageCause::kDocument); }
  /// Announces the configuration version to the sidecars that are to keep a
  /// copy of the document.
  void NotifyDocumentHolders();
  /// @return the messages to send, and removes them.
  std::vector<Outgoing> TakeOutgoing() { return std::exchange(outgoing_, {}); }

  const EvacuationExchange& evacuations() const { return evacuations_; }
  /// @return the changes of evacuations since the last call.
  std::vector<EvacuationChange> TakeEvacuationChanges() {
    return std::exchange(evacuation_changes_, {});
  }
  const PeerTable& table() const { return table_; }
  const PeerEntry& self() const { return self_; }
  /// @return the entry of an earlier process of this instance, if one has been
  /// received.
  const std::optional<PeerEntry>& predecessor() const { return predecessor_; }
  /// @return whether a balancer has answered since the start.
  bool connected() const { return connected_; }
  /// @return whether the table holds all entries of the store, as read by this
  /// instance or by one with an equal table.
  bool complete() const { return complete_; }
  /// @return the newest era of the store that this instance or one of those
  ///     whose messages it has received has seen.
  std::uint64_t newest_store_era() const { return newest_store_era_; }
  /// @return the newest configuration number known to be in the store.
  std::uint64_t verified_config() const { return verified_config_; }
  /// @return when any balancer last received a response of the store; only
  ///     meaningful if verified_config() is not 0.
  TimePoint verified_at() const { return verified_at_; }

 private:
  void PublishSelf();
  /// @return whether an instance can have written the entry.
  bool IsPlausible(const PeerEntry& entry) const;
  /// @return the entries of other instances that were written before the store
  ///     last came back from a copy.
  std::vector<PeerEntry> EntriesBefore(
      std::uint64_t era, std::span<const PeerEntry> entries) const;
  /// The table is complete once all instances of an outdated list have started
  /// anew: those that are missing from it have done so too.
  void CompleteAfterRestarts();
  /// Sends broadcasts and forwarded changes within their budget.
  void SendChanges();
  void BroadcastFor(MessageCause cause);
  /// Sends heartbeats, or hello messages, if they are due.
  void SendRound();
  /// Asks one balancer for the table, and announces this instance to others.
  void SendHello();
  void SendPredecessor(const PeerEntry& entry);
  /// Tells an instance that has seen only earlier eras of the store of the
  /// present one.
  void SendStoreEra(const Message& from);
  Message MakeMessage(TimePoint now) const;
  /// @return a message with all evacuated names, whatever their size.
  Message MakeEvacuationMessage() const;
  /// Handles the part of a message that tells of evacuations, and answers it.
  void MergeEvacuations(const Message& message);
  /// Records changes of evacuations. A balancer forwards them.
  /// @param relays whether to tell other balancers, too.
  void SpreadEvacuations(bool relays);
  /// Tells sidecars of the data centres whose evacuation has changed.
  void NotifySidecars();
  void SendTable(InstanceAddress to, bool to_balancer);
  std::vector<Message> MakeTableMessages(
      std::span<const PeerEntry> entries) const;
  /// Sends entries within the budget for repairs.
  void SendEntries(InstanceAddress to, std::span<const PeerEntry> entries);
  /// Offers an instance whose table differs a comparison of the buckets.
  void OfferComparison(const Message& from);
  /// Compares the digests of ranges; asks for the entries of those that differ,
  /// or continues with the parts of a bucket.
  void CompareRanges(const Message& from);
  /// @return the entries of ranges, as far as the sender of a message keeps
  ///     such.
  std::vector<PeerEntry> EntriesOf(const std::vector<RangeIndex>& ranges,
                                   const Message& from) const;
  /// @return the digests of the entries that both instances keep.
  const TableDigest& SharedDigest(const Message& from) const {
    return table_.Digest(!self_.balancer || !from.balancer);
  }
  /// @return whether a range is to be asked for: not if an instance has just
  /// been asked.
  bool MayAskFor(RangeIndex range);
  /// Takes a token of the budget for repair messages.
  bool MayRepair() { return repair_budget_.TryTake(now_); }
  /// @return whether a repair of this instance's table is due again.
  bool MaySync(InstanceAddress with);
  /// @return the balancers that are known, or may be ones.
  std::vector<InstanceAddress> OtherBalancers() const;
  std::vector<InstanceAddress> PickBalancers(std::size_t count);
  void MergeEntry(const PeerEntry& entry, MembershipUpdate& update);

  PeerEntry self_;
  std::optional<PeerEntry> predecessor_;
  PeerTable table_;
  std::mt19937_64 random_;
  std::vector<InstanceAddress> seeds_;
  std::vector<Outgoing> outgoing_;
  StartSchedule start_;
  ChangeForwarder forwarder_;
  /// Balancers that a broadcast has yet to be sent to.
  std::vector<InstanceAddress> broadcast_to_;
  MessageCause broadcast_cause_ = MessageCause::kDocument;
  ByteBudget change_budget_;
  ByteBudget table_budget_;  ///< Of answers to hello messages.
  std::map<InstanceAddress, TimePoint> last_sync_;
  std::array<TimePoint, TableDigest::kRanges> asked_at_{};
  TokenBucket repair_budget_{kRepairRate, kRepairBurst};
  EvacuationExchange evacuations_;
  std::vector<EvacuationChange> evacuation_changes_;
  bool knows_evacuations_ = false;  ///< Since the last SpreadEvacuations().
  /// Data centres whose sidecars get a second notice at `second_notice_at_`.
  DataCenterNames concerned_;
  TimePoint second_notice_at_{};
  bool connected_ = false;  ///< A balancer has answered since the start.
  bool complete_ = false;
  std::optional<TimePoint> first_snapshot_at_;
  /// Entries of the last snapshot from an earlier era of the store, less those
  /// of instances that have started anew.
  std::vector<PeerEntry> outdated_entries_;
  bool watching_ = false;
  std::uint64_t store_era_ = 0;
  std::uint64_t newest_store_era_ = 0;
  ConfigVersion config_;
  std::uint64_t verified_config_ = 0;
  TimePoint verified_at_{};
  TimePoint now_{};
  TimePoint last_heartbeat_{};
};

}  // namespace cowslip::peers
