#pragma once

#include <cstddef>
#include <random>
#include <span>
#include <vector>

#include "cowslip/peers/peer_entry.h"
#include "cowslip/peers/peer_table.h"

namespace cowslip::peers {

/// Entries that one message forwards to a balancer.
struct ForwardedChanges {
  InstanceAddress to = 0;
  std::vector<PeerEntry> entries;
  /// The message has an entry after which an instance must not be used.
  bool urgent = false;
};

/// Decides which balancers a balancer forwards the changes to that it has
/// received from their owners.
///
/// Answers the load of a start of many instances: an instance tells several
/// balancers of itself, and if each of them forwarded the entry to all others,
/// each of these would receive it as many times. The ones that were told share
/// the others among themselves by a hash instead. What is lost follows by
/// comparison of the tables. Changes of one round share messages, and an entry
/// goes to a balancer at most once in a round.
class ChangeForwarder {
 public:
  /// Balancers that a change is forwarded to.
  static constexpr std::size_t kFanout = 32;
  /// Copies that each balancer gets of a change if nothing is lost. One is
  /// enough right after the start, as the tables are compared soon.
  static constexpr std::size_t kCopies = 3;
  static constexpr std::size_t kCopiesAtStart = 1;

  explicit ChangeForwarder(InstanceAddress self) : self_(self) {}

  /// An entry has changed.
  /// @param told balancers that its owner has told; empty if it is not known.
  void Add(InstanceAddress owner, std::vector<InstanceAddress> told);
  bool empty() const { return queue_.empty(); }
  /// Removes all changes from the queue.
  /// @return the messages to send, the most urgent first, none with more than
  ///     kMaxEntries entries.
  /// @param balancers all others.
  /// @param starting whether this instance has just started.
  std::vector<ForwardedChanges> Take(const PeerTable& table,
                                     std::vector<InstanceAddress> balancers,
                                     bool starting, std::mt19937_64& random);

 private:
  struct Change {
    InstanceAddress owner = 0;
    std::vector<InstanceAddress> told;
  };

  /// @return whether this instance forwards the change to a balancer.
  bool IsMine(const Change& change, const PeerEntry& entry, InstanceAddress to,
              std::size_t copies) const;

  InstanceAddress self_;
  std::vector<Change> queue_;
};

}  // namespace cowslip::peers
