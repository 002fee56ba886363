#include "support/virtual_network.h"

#include <stdexcept>

namespace cowslip::testing {
namespace {

/// Time for which a frame is queued for a stopped process.
constexpr std::chrono::milliseconds kMaxQueueTime{500};

}  // namespace

Duration VirtualNetwork::DrawDuration(Duration low, Duration high) {
  const auto range = static_cast<std::uint64_t>((high - low).count());
  return low + Duration(range == 0 ? 0 : Draw(range + 1));
}

bool VirtualNetwork::DrawBool(double probability) {
  constexpr std::uint64_t kSteps = 1'000'000;
  return probability > 0 &&
         Draw(kSteps) < static_cast<std::uint64_t>(probability * kSteps);
}

void VirtualNetwork::Start(const Endpoint& at, const ProcessPtr& process) {
  Kill(at);
  // A process reads the members after it has announced itself, so the first
  // view that it gets is newer than those sent before its start.
  process->epoch = epoch_;
  processes_[at] = process;
  Tick(at, process);
}

void VirtualNetwork::AddBalancer(engine::BalancerOptions options) {
  options.frames = BalancerAt(Raw(options.id));
  auto process = std::make_shared<Process>();
  LastReason<engine::EngineError> reason;
  process->balancer = engine::Balancer::Create(options, reason);
  if (!process->balancer) throw std::invalid_argument(reason.Message());
  Start(options.frames, process);
}

void VirtualNetwork::StartSidecar(engine::SidecarOptions options,
                                  double weight) {
  auto process = std::make_shared<Process>();
  options.started = now_;
  LastReason<engine::EngineError> reason;
  process->sidecar = engine::Sidecar::Create(options, reason);
  if (!process->sidecar) throw std::invalid_argument(reason.Message());
  process->id = options.id;
  auto& member = members_[options.id];
  member.id = options.id;
  member.service = options.service;
  member.incarnation = options.incarnation;
  member.sidecar = SidecarAt(options.id);
  member.slots = options.slots;
  member.weight = weight;
  member.state = UpstreamState::kActive;
  member.joined = now_;
  Start(member.sidecar, process);
}

membership::ViewPtr VirtualNetwork::BuildView() {
  ticket::Ticket snapshot;
  snapshot.number = ticket_;
  for (const auto& [id, service] : services_) {
    snapshot.services.push_back(service);
  }
  std::vector<Upstream> upstreams;
  for (const auto& [id, member] : members_) upstreams.push_back(member);
  return std::make_shared<membership::View>(
      ++epoch_, ticket::TicketState::FromSnapshot(snapshot),
      std::move(upstreams));
}

void VirtualNetwork::Publish() {
  const auto view = BuildView();
  for (const auto& [at, process] : processes_) {
    After(DrawDuration({}, faults.view_lag),
          [this, to = at, view] { Deliver(to, view); });
  }
}

void VirtualNetwork::PublishTo(const Endpoint& process) {
  Deliver(process, BuildView());
}

void VirtualNetwork::Deliver(const Endpoint& to,
                             const membership::ViewPtr& view) {
  const auto process = Find(to);
  if (process == nullptr || process->epoch >= view->epoch()) return;
  process->epoch = view->epoch();
  if (process->frozen) {
    process->pending_view = view;
  } else if (process->balancer) {
    WithBalancer(to, [&](auto& balancer, auto&) { balancer.OnView(view); });
  } else {
    WithSidecar(process->id, [&](auto& sidecar, auto& effects) {
      sidecar.OnView(view, now_, effects);
    });
  }
}

void VirtualNetwork::Kill(const Endpoint& process) {
  const auto found = processes_.find(process);
  if (found == processes_.end()) return;
  const auto& counters = found->second->balancer
                             ? found->second->balancer->counters()
                             : found->second->sidecar->counters();
  for (std::size_t i = 0; i < ended_counters_.size(); ++i) {
    ended_counters_[i] += counters.Get(engine::Counter(i));
  }
  processes_.erase(found);
}

void VirtualNetwork::Freeze(const Endpoint& process) {
  if (const auto found = Find(process)) found->frozen = true;
}

void VirtualNetwork::Unfreeze(const Endpoint& process) {
  const auto found = Find(process);
  if (found == nullptr || !found->frozen) return;
  found->frozen = false;
  if (found->pending_view != nullptr) {
    found->epoch = 0;
    Deliver(process, std::exchange(found->pending_view, nullptr));
  }
  const auto queue = std::exchange(found->queue, {});
  for (const auto& queued : queue) {
    if (now_ - queued.arrived <= kMaxQueueTime) Deliver(queued);
  }
}

bool VirtualNetwork::IsAlive(const Endpoint& process) const {
  return processes_.contains(process);
}

VirtualNetwork::ProcessPtr VirtualNetwork::Find(const Endpoint& at) const {
  const auto found = processes_.find(at);
  return found == processes_.end() ? nullptr : found->second;
}

engine::Balancer& VirtualNetwork::balancer(const Endpoint& at) {
  return *processes_.at(at)->balancer;
}

engine::Sidecar& VirtualNetwork::sidecar(UpstreamId id) {
  return *processes_.at(SidecarAt(id))->sidecar;
}

std::uint64_t VirtualNetwork::Total(engine::Counter counter) const {
  auto total = ended_counters_[static_cast<std::size_t>(counter)];
  for (const auto& [at, process] : processes_) {
    total += process->balancer ? process->balancer->counters().Get(counter)
                               : process->sidecar->counters().Get(counter);
  }
  return total;
}

void VirtualNetwork::WithSidecar(
    UpstreamId id,
    const std::function<void(engine::Sidecar&, engine::SidecarEffects&)>&
        action) {
  const auto process = Find(SidecarAt(id));
  if (process == nullptr) return;
  engine::SidecarEffects effects;
  action(*process->sidecar, effects);
  ExecuteEffects(*process, SidecarAt(id), effects);
}

void VirtualNetwork::WithBalancer(
    const Endpoint& at,
    const std::function<void(engine::Balancer&, engine::BalancerEffects&)>&
        action) {
  const auto process = Find(at);
  if (process == nullptr) return;
  engine::BalancerEffects effects;
  action(*process->balancer, effects);
  ExecuteEffects(*process, at, effects);
}

void VirtualNetwork::ExecuteEffects(Process&, const Endpoint& at,
                                    engine::BalancerEffects& effects) {
  for (const auto& frame : effects.frames) Send(frame, at);
  for (const auto& datagram : effects.datagrams) {
    if (on_caller) on_caller(datagram.flow, datagram.payload);
  }
  if (!effects.fetches.empty()) PublishTo(at);
}

void VirtualNetwork::ExecuteEffects(Process& process, const Endpoint& at,
                                    engine::SidecarEffects& effects) {
  for (const auto& frame : effects.frames) Send(frame, at);
  for (const auto& close : effects.closes) {
    if (on_close) on_close(process.id, close.slot);
  }
  for (const auto& datagram : effects.datagrams) {
    if (on_upstream) on_upstream(process.id, datagram.slot, datagram.payload);
  }
  if (!effects.fetches.empty()) PublishTo(at);
  if (!effects.lease_check) return;
  const auto member = members_.find(process.id);
  const bool in_force =
      member != members_.end() &&
      member->second.incarnation == process.sidecar->incarnation();
  if (in_force) process.sidecar->OnLeaseConfirmed(*effects.lease_check, now_);
}

void VirtualNetwork::Send(const engine::SendFrame& frame,
                          const Endpoint& from) {
  if (on_frame) on_frame(frame, from);
  if (disconnected_.contains({from, frame.to}) ||
      disconnected_.contains({frame.to, from})) {
    return;
  }
  const int copies = DrawBool(faults.duplication) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (DrawBool(faults.loss)) continue;
    const auto delay = DrawDuration(faults.min_delay, faults.max_delay);
    QueuedFrame queued{frame, Bytes(frame.payload.begin(), frame.payload.end()),
                       from, now_ + delay};
    After(delay, [this, queued = std::move(queued)] { Deliver(queued); });
  }
}

void VirtualNetwork::Deliver(const QueuedFrame& queued) {
  const auto process = Find(queued.frame.to);
  if (process == nullptr) return;
  if (process->frozen) {
    process->queue.push_back(queued);
    return;
  }
  const link::Frame frame{queued.frame.header, queued.payload};
  if (process->balancer) {
    WithBalancer(queued.frame.to, [&](auto& balancer, auto& effects) {
      balancer.OnFrame(frame, queued.from, now_, effects);
    });
  } else {
    WithSidecar(process->id, [&](auto& sidecar, auto& effects) {
      sidecar.OnFrame(frame, queued.from, now_, effects);
    });
  }
}

void VirtualNetwork::SendFromCaller(const Endpoint& balancer,
                                    const FlowKey& flow, Bytes payload) {
  const auto process = Find(balancer);
  if (process == nullptr || process->frozen) return;
  WithBalancer(balancer, [&](auto& engine, auto& effects) {
    engine.OnCallerDatagram({flow, payload}, now_, effects);
  });
}

void VirtualNetwork::SendFromUpstream(UpstreamId id, flow::FlowSlot slot,
                                      Bytes payload) {
  const auto process = Find(SidecarAt(id));
  if (process == nullptr || process->frozen) return;
  WithSidecar(id, [&](auto& sidecar, auto& effects) {
    sidecar.OnUpstreamDatagram(slot, payload, now_, effects);
  });
}

void VirtualNetwork::Tick(const Endpoint& at, const ProcessPtr& process) {
  if (Find(at) != process) return;
  if (!process->frozen && process->sidecar) {
    WithSidecar(process->id, [&](auto& sidecar, auto& effects) {
      sidecar.OnTick(now_, effects);
    });
  } else if (!process->frozen) {
    WithBalancer(at, [&](auto& balancer, auto& effects) {
      balancer.OnTick(now_, effects);
    });
  }
  After(tick, [this, at, process] { Tick(at, process); });
}

void VirtualNetwork::After(Duration delay, std::function<void()> action) {
  events_.emplace(now_ + delay, std::move(action));
}

void VirtualNetwork::RunFor(Duration time) {
  const auto end = now_ + time;
  while (!events_.empty() && events_.begin()->first <= end) {
    auto event = events_.extract(events_.begin());
    now_ = event.key();
    event.mapped()();
  }
  now_ = end;
}

}  // namespace cowslip::testing
