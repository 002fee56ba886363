#include "support/lookup_simulation.h"

#include <algorithm>
#include <cstring>
#include <iterator>
#include <utility>

namespace cowslip::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kBalancers = 3;
constexpr std::uint32_t kPayloadBytes = 8;
/// Time after which a conflict between two owners is resolved, once all views
/// are equal.
constexpr seconds kConflictTime{1};

Bytes MakePayload(std::uint32_t flow, std::uint32_t sequence) {
  Bytes payload(kPayloadBytes);
  std::memcpy(payload.data(), &flow, sizeof flow);
  std::memcpy(payload.data() + sizeof flow, &sequence, sizeof sequence);
  return payload;
}

}  // namespace

LookupSimulation::LookupSimulation(std::uint64_t seed,
                                   const LookupOptions& options)
    : network(seed), options_(options) {
  network.tick = milliseconds(200);
  network.faults.loss = options.loss;
  ticket::Service service;
  service.id = kService;
  service.name = "beacon";
  service.address = kAddress;
  service.protocol = ticket::Protocol::kDatagram;
  service.idle_timeout = kIdleTimeout;
  network.services()[kService] = service;
  network.on_upstream = [this](auto id, auto, auto payload) {
    OnUpstream(id, payload);
  };
  network.on_frame = [this](const auto& frame, const auto&) {
    if (frame.header.kind != link::FrameKind::kCallerData) return;
    std::uint32_t sequence = 0;
    std::memcpy(&sequence, frame.payload.data() + sizeof sequence,
                sizeof sequence);
    const auto flow = frame.header.flow.caller.address & 0xffff;
    auto& hops = flow_states_[flow].hops[sequence];
    most_hops = std::max(most_hops, ++hops);
  };
  for (std::uint32_t i = 1; i <= kBalancers; ++i) {
    engine::BalancerOptions balancer;
    balancer.id = BalancerId(i);
    balancer.hint_capacity = 64;
    network.AddBalancer(balancer);
  }
  for (std::uint32_t i = 0; i < options.upstreams; ++i) Join(next_id_++);
  network.RunFor(2 * kIdleTimeout);
  network.faults.view_lag = options.view_lag;
}

void LookupSimulation::Join(std::uint32_t id) {
  engine::SidecarOptions options;
  options.id = UpstreamId(id);
  options.service = kService;
  options.incarnation = Incarnation(++incarnations_[id]);
  options.redirect_capacity = 1000;
  network.StartSidecar(options, 1.0 + static_cast<double>(network.Draw(4)));
  alive_.insert(id);
  network.Publish();
}

void LookupSimulation::Die(std::uint32_t id) {
  network.Kill(VirtualNetwork::SidecarAt(UpstreamId(id)));
  alive_.erase(id);
  const auto old = incarnations_[id];
  network.After(network.DrawDuration(milliseconds(500), seconds(5)),
                [this, id, old] {
                  if (incarnations_[id] != old) return;
                  network.members().erase(UpstreamId(id));
                  network.Publish();
                });
}

void LookupSimulation::Restart(std::uint32_t id) { Join(id); }

void LookupSimulation::Drain(std::uint32_t id) {
  network.members()[UpstreamId(id)].state = UpstreamState::kDraining;
  network.WithSidecar(UpstreamId(id), [](auto& sidecar, auto& effects) {
    sidecar.StartDrain(effects);
  });
  network.Publish();
  network.After(network.DrawDuration(seconds(5), 2 * kIdleTimeout),
                [this, id, old = incarnations_[id]] {
                  if (incarnations_[id] != old || !alive_.contains(id)) return;
                  network.Kill(VirtualNetwork::SidecarAt(UpstreamId(id)));
                  alive_.erase(id);
                  network.members().erase(UpstreamId(id));
                  network.Publish();
                });
}

std::optional<std::uint32_t> LookupSimulation::AnyMember() {
  std::vector<std::uint32_t> active;
  for (const auto id : alive_) {
    const auto& members = network.members();
    const auto found = members.find(UpstreamId(id));
    if (found == members.end()) continue;
    if (found->second.state == UpstreamState::kActive) active.push_back(id);
  }
  if (active.size() < 2) return std::nullopt;
  return active[network.Draw(active.size())];
}

void LookupSimulation::ChangeRandomly() {
  enum class Kind { kJoin, kRestart, kDrain, kBalancer, kDie, kCount };
  auto kinds = static_cast<std::uint64_t>(Kind::kCount);
  if (!options_.deaths) --kinds;
  const auto kind = Kind(network.Draw(kinds));
  const auto member = AnyMember();
  if (kind == Kind::kBalancer) {
    engine::BalancerOptions balancer;
    balancer.id =
        BalancerId(static_cast<std::uint32_t>(1 + network.Draw(kBalancers)));
    balancer.hint_capacity = 64;
    network.AddBalancer(balancer);
    network.PublishTo(VirtualNetwork::BalancerAt(Raw(balancer.id)));
  } else if (kind == Kind::kJoin || !member) {
    Join(next_id_++);
  } else if (kind == Kind::kRestart) {
    Restart(*member);
  } else if (kind == Kind::kDrain) {
    Drain(*member);
  } else {
    Die(*member);
  }
}

Endpoint LookupSimulation::AnyBalancer() {
  return VirtualNetwork::BalancerAt(
      static_cast<std::uint32_t>(1 + network.Draw(kBalancers)));
}

void LookupSimulation::StartFlows() {
  for (std::uint32_t i = 1; i <= options_.flows; ++i) {
    network.After(network.DrawDuration({}, kIdleTimeout),
                  [this, i] { SendNext(i); });
  }
}

void LookupSimulation::SendNext(std::uint32_t flow) {
  auto& flow_state = flow_states_[flow];
  network.SendFromCaller(AnyBalancer(), Flow(flow),
                         MakePayload(flow, ++flow_state.sequence));
  const auto longest = std::chrono::duration_cast<Duration>(
      kIdleTimeout * options_.longest_pause);
  // Half of the flows send bursts, so that two datagrams may take two paths at
  // the same time.
  const bool soon = flow % 2 == 0 && network.Draw(3) != 0;
  const auto pause = soon ? network.DrawDuration({}, milliseconds(2))
                          : network.DrawDuration(longest / 8, longest);
  network.After(pause, [this, flow] { SendNext(flow); });
}

bool LookupSimulation::IsRunning(const UpstreamIncarnation& upstream) const {
  const auto id = Raw(upstream.id);
  return alive_.contains(id) &&
         incarnations_.at(id) == Raw(upstream.incarnation);
}

void LookupSimulation::OnUpstream(UpstreamId id, ByteView payload) {
  std::uint32_t flow = 0;
  std::uint32_t sequence = 0;
  std::memcpy(&flow, payload.data(), sizeof flow);
  std::memcpy(&sequence, payload.data() + sizeof flow, sizeof sequence);
  ++delivered;
  auto& flow_state = flow_states_[flow];
  const UpstreamIncarnation here{id, Incarnation(incarnations_[Raw(id)])};
  const auto idle =
      network.now() - std::exchange(flow_state.last, network.now());
  if (!flow_state.owner || !IsRunning(*flow_state.owner) ||
      idle >= kIdleTimeout) {
    flow_state.owner = here;
    flow_state.first = network.now();
    network.After(
        options_.view_lag + kConflictTime,
        [this, flow, first = flow_state.first] { CheckSettled(flow, first); });
    ++new_flows;
    frames_of_new_flows += flow_state.hops[sequence];
    return;
  }
  if (*flow_state.owner == here) return;
  // Two upstreams may accept a flow at the same time, but only while the views
  // differ.
  if (network.now() - flow_state.first > options_.view_lag + kConflictTime) {
    violations.push_back("flow " + std::to_string(flow) + " sequence " +
                         std::to_string(sequence) + " owner " +
                         std::to_string(Raw(flow_state.owner->id)) +
                         " reached " + std::to_string(Raw(id)) + " at " +
                         std::to_string(std::chrono::duration<double>(
                                            network.now().time_since_epoch())
                                            .count()));
  }
  flow_state.owner = here;
}

void LookupSimulation::CheckSettled(std::uint32_t flow, TimePoint first) {
  auto& flow_state = flow_states_[flow];
  const auto owners = OwnersOf(flow);
  if (owners.size() > 1) {
    violations.push_back("flow " + std::to_string(flow) + " has two owners");
  }
  if (owners.size() != 1 || flow_state.first != first) return;
  const auto id = owners.front();
  flow_state.owner =
      UpstreamIncarnation{UpstreamId(id), Incarnation(incarnations_[id])};
}

void LookupSimulation::WaitUntilStable() { network.RunFor(3 * kIdleTimeout); }

std::vector<std::uint32_t> LookupSimulation::OwnersOf(std::uint32_t flow) {
  std::vector<std::uint32_t> owners;
  std::copy_if(alive_.begin(), alive_.end(), std::back_inserter(owners),
               [&](auto id) {
                 return network.sidecar(UpstreamId(id)).Owns(Flow(flow));
               });
  return owners;
}

}  // namespace cowslip::testing
