#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "support/virtual_network.h"

namespace cowslip::testing {

/// Configuration of a simulation.
struct LookupOptions {
  std::uint32_t upstreams = 5;  ///< At the start.
  std::uint32_t flows = 30;
  double loss = 0;  ///< Probability that a frame is lost.
  Duration view_lag{std::chrono::milliseconds(500)};
  /// Longest time between two datagrams of a flow, as a share of the idle
  /// timeout.
  double longest_pause = 0.95;
  bool deaths = true;  ///< Whether upstreams fail.
};

/// Simulates random joins, restarts, drains and failures of upstreams while
/// flows are active, and checks the invariant in docs/DESIGN.md, "Owner
/// lookup": a flow stays at its owner as long as that runs.
class LookupSimulation {
 public:
  static constexpr ServiceId kService{1};
  static constexpr Endpoint kAddress{0x7f350001, 9000};
  static constexpr std::chrono::seconds kIdleTimeout{10};
  static constexpr std::uint32_t kMaxHops = 2 * link::VisitedList::kCapacity;

  LookupSimulation(std::uint64_t seed, const LookupOptions& options);

  /// Makes one random change of the membership or of the balancers.
  void ChangeRandomly();
  void Join(std::uint32_t id);
  void Die(std::uint32_t id);
  void Restart(std::uint32_t id);
  void Drain(std::uint32_t id);
  /// Starts the flows. Each one sends until the object is destroyed.
  void StartFlows();
  /// Runs without changes until all views are equal and conflicts between two
  /// owners of a flow are resolved.
  void WaitUntilStable();
  /// @return the running upstreams that own the flow.
  std::vector<std::uint32_t> OwnersOf(std::uint32_t flow);

  static FlowKey Flow(std::uint32_t number) {
    return {{0x0a000000 + number, 40000}, kAddress};
  }

  VirtualNetwork network;
  std::uint32_t most_hops = 0;  ///< Largest number of frames of a datagram.
  std::uint64_t frames_of_new_flows = 0;  ///< Of the first datagrams of flows.
  std::uint64_t new_flows = 0;
  std::uint64_t delivered = 0;
  /// Violations of the invariant, as text: flows that moved although their
  /// owner was running, and flows with two owners.
  std::vector<std::string> violations;

 private:
  /// An incarnation of an upstream.
  struct UpstreamIncarnation {
    UpstreamId id{};
    Incarnation incarnation{};
    auto operator<=>(const UpstreamIncarnation&) const = default;
  };
  /// The state of a flow.
  struct FlowState {
    std::optional<UpstreamIncarnation> owner;
    TimePoint first{};           ///< First datagram at the present owner.
    TimePoint last{};            ///< Latest datagram at an upstream.
    std::uint32_t sequence = 0;  ///< Of the latest datagram.
    std::map<std::uint32_t, std::uint32_t> hops;  ///< Frames by sequence.
  };

  void SendNext(std::uint32_t flow);
  void OnUpstream(UpstreamId id, ByteView payload);
  void CheckSettled(std::uint32_t flow, TimePoint first);
  bool IsRunning(const UpstreamIncarnation& upstream) const;
  std::optional<std::uint32_t> AnyMember();
  Endpoint AnyBalancer();

  LookupOptions options_;
  std::map<std::uint32_t, std::uint64_t> incarnations_;
  std::set<std::uint32_t> alive_;
  std::map<std::uint32_t, FlowState> flow_states_;
  std::uint32_t next_id_ = 1;
};

}  // namespace cowslip::testing
