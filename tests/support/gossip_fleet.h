#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "cowslip/peers.h"

namespace cowslip::peers {

inline PeerEntry MakeEntry(InstanceAddress address, bool balancer,
                           std::uint64_t incarnation) {
  PeerEntry entry;
  entry.address = address;
  entry.balancer = balancer;
  entry.incarnation = incarnation;
  entry.service = balancer ? "" : "vault";
  return entry;
}

/// Instances that exchange messages on a lossy network, in steps of 20 ms.
class Fleet {
 public:
  explicit Fleet(std::uint64_t seed) : random_(seed) {}

  Gossip& Add(const PeerEntry& entry) {
    auto& gossip = instances_[entry.address];
    gossip = std::make_unique<Gossip>(entry, entry.address);
    gossip->SetSeeds({1, 2, 3});
    return *gossip;
  }
  void Remove(InstanceAddress address) { instances_.erase(address); }
  Gossip& At(InstanceAddress address) { return *instances_.at(address); }
  const auto& instances() const { return instances_; }

  void Run(std::chrono::milliseconds time) {
    for (auto end = now_ + time; now_ < end; now_ += kStep) {
      burst_.clear();
      for (auto& [address, gossip] : instances_) gossip->OnTick(now_);
      // Responses to messages arrive in the same step.
      for (int round = 0; round < 4; ++round) DeliverMessages();
      for (const auto& [address, bytes] : burst_) {
        largest_burst_ = std::max(largest_burst_, bytes);
      }
    }
  }
  void SetLoss(double loss) { loss_ = loss; }
  /// Drops what an instance sends; it receives all the same.
  void Mute(InstanceAddress address) { mute_ = address; }
  /// Makes an instance behave as a build before evacuations: it neither sends
  /// nor reads them.
  void MakeEarlierBuild(InstanceAddress address) { earlier_.insert(address); }
  /// Makes all instances behave as builds that exchange whole tables only.
  void ExchangeWholeTables() { whole_tables_ = true; }
  /// Sets the newest era of the store that an instance has seen. Instances that
  /// are told of a newer one see it at once.
  void SetStoreEra(InstanceAddress address, std::uint64_t era) {
    store_eras_[address] = era;
    At(address).SetStoreEra(era);
  }
  std::uint64_t StoreEraAt(InstanceAddress address) {
    return store_eras_[address];
  }
  TimePoint now() const { return now_; }
  std::uint64_t bytes() const { return bytes_; }
  /// @return most bytes that one instance sent in one step.
  std::uint64_t largest_burst() const { return largest_burst_; }
  void ResetCounters() {
    bytes_ = 0;
    largest_burst_ = 0;
  }

 private:
  static constexpr std::chrono::milliseconds kStep{20};

  void DeliverMessages() {
    std::vector<std::pair<InstanceAddress, Outgoing>> sent;
    for (auto& [address, gossip] : instances_) {
      for (auto& out : gossip->TakeOutgoing()) {
        sent.emplace_back(address, std::move(out));
      }
    }
    for (auto& [from, out] : sent) {
      if (earlier_.contains(from)) out.message.evacuations.reset();
      if (whole_tables_) out.message.compares_ranges = false;
      const auto datagram = Encode(out.message);
      bytes_ += datagram.size();
      burst_[from] += datagram.size();
      const auto target = instances_.find(out.to);
      const bool lost =
          std::uniform_real_distribution<double>(0, 1)(random_) < loss_;
      if (target == instances_.end() || lost || from == mute_) continue;
      auto message = Decode(datagram);
      BOOST_REQUIRE(message.has_value());
      if (earlier_.contains(out.to)) message->evacuations.reset();
      const auto update = target->second->OnMessage(*message, now_);
      auto& era = store_eras_[out.to];
      if (update.store_era > era) SetStoreEra(out.to, update.store_era);
    }
  }

  std::mt19937_64 random_;
  std::map<InstanceAddress, std::unique_ptr<Gossip>> instances_;
  TimePoint now_{std::chrono::seconds(50)};
  double loss_ = 0;
  InstanceAddress mute_ = 0;
  std::set<InstanceAddress> earlier_;
  bool whole_tables_ = false;
  std::uint64_t bytes_ = 0;
  std::uint64_t largest_burst_ = 0;
  std::map<InstanceAddress, std::uint64_t> burst_;
  std::map<InstanceAddress, std::uint64_t> store_eras_;
};

/// Adds balancers with addresses from 1 and sidecars with addresses from
/// `first_sidecar`.
inline void AddInstances(Fleet& fleet, int balancers, int sidecars,
                         InstanceAddress first_sidecar = 101) {
  for (int i = 1; i <= balancers; ++i) fleet.Add(MakeEntry(i, true, 1));
  for (int i = 0; i < sidecars; ++i) {
    fleet.Add(MakeEntry(first_sidecar + i, false, 1));
  }
}

}  // namespace cowslip::peers
