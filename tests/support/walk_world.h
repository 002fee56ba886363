#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "support/virtual_network.h"

namespace cowslip::testing {

/// What a walk world varies.
struct WalkOptions {
  std::uint32_t upstreams = 5;
  std::uint32_t flows = 30;
  double loss = 0;
  Duration view_lag{std::chrono::milliseconds(500)};
  /// Longest time between two datagrams of a flow, in parts of T.
  double longest_pause = 0.95;
  bool deaths = true;
};

/// Random joins, restarts, drains and deaths under flows that stay live, and a
/// judge of the invariant in docs/DESIGN.md, "Walks".
class WalkWorld {
 public:
  static constexpr ServiceId kService{1};
  static constexpr Endpoint kAddress{0x7f350001, 9000};
  static constexpr std::chrono::seconds kIdleTimeout{10};
  static constexpr std::uint32_t kMaxHops = 2 * link::VisitedList::kCapacity;

  WalkWorld(std::uint64_t seed, const WalkOptions& options);

  /// One random change of the membership or of the balancers.
  void Change();
  void Join(std::uint32_t id);
  void Die(std::uint32_t id);
  void Restart(std::uint32_t id);
  void Drain(std::uint32_t id);
  /// Starts the flows; each sends until the world ends.
  void StartFlows();
  /// Waits without changes until views agree and crossed walks have met.
  void Settle();
  std::vector<std::uint32_t> OwnersOf(std::uint32_t flow);

  static FlowKey Flow(std::uint32_t number) {
    return {{0x0a000000 + number, 40000}, kAddress};
  }

  VirtualNetwork network;
  std::uint32_t most_hops = 0;
  std::uint64_t frames_of_new_flows = 0;
  std::uint64_t new_flows = 0;
  std::uint64_t delivered = 0;
  /// One line each: flows that were moved from an owner that lives.
  std::vector<std::string> broken;

 private:
  struct Life {
    UpstreamId id{};
    Incarnation incarnation{};
    auto operator<=>(const Life&) const = default;
  };
  struct Sender {
    std::optional<Life> owner;
    TimePoint first{};  ///< At the present owner.
    TimePoint last{};   ///< Reached an upstream.
    std::uint32_t sequence = 0;
    std::map<std::uint32_t, std::uint32_t> hops;  ///< By sequence.
  };

  void SendNext(std::uint32_t flow);
  void OnUpstream(UpstreamId id, ByteView payload);
  void CheckSettled(std::uint32_t flow, TimePoint first);
  bool Lives(const Life& life) const;
  std::optional<std::uint32_t> AnyMember();
  Endpoint AnyBalancer();

  WalkOptions options_;
  std::map<std::uint32_t, std::uint64_t> incarnations_;
  std::set<std::uint32_t> alive_;
  std::map<std::uint32_t, Sender> senders_;
  std::uint32_t next_id_ = 1;
};

}  // namespace cowslip::testing
