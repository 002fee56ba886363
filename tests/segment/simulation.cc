#include "segment/simulation.h"

#include <cstring>

namespace cowslip::segment::test {
namespace {

/// Distance between the first sequence numbers of two upstreams.
constexpr std::uint32_t kSeqOffset = 1U << 20;

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr microseconds kInstanceLatency{500};
constexpr microseconds kCallerLatency{1000};
constexpr microseconds kLocalLatency{50};
constexpr milliseconds kTickInterval{20};
/// Longest time that a datagram waits for a link before it is dropped.
constexpr std::chrono::seconds kMaxLinkQueue{2};
/// Datagrams that a socket keeps for a suspended process.
constexpr std::size_t kSocketBuffer = 1000;
constexpr Endpoint kServiceAddress{0xC6120001, 443};

/// Encodes a segment as a packet: its object representation.
Bytes ToPacket(const Segment& segment) {
  Bytes packet(sizeof segment);
  std::memcpy(packet.data(), &segment, sizeof segment);
  return packet;
}

milliseconds TimeOfDay(TimePoint time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
}

Segment FromPacket(ByteView packet) {
  Segment segment;
  std::memcpy(&segment, packet.data(), sizeof segment);
  return segment;
}

}  // namespace

void Simulation::After(microseconds delay, std::function<void()> run) {
  events_.push({now_ + delay, order_++, std::move(run)});
}

bool Simulation::IsLost() {
  return loss_ > 0 &&
         std::uniform_real_distribution<double>(0, 1)(random_) < loss_;
}

void Simulation::AddBalancer(int index, bool complete) {
  balancers_[index] = std::make_unique<Balancer>(
      BalancerAddress(index), observer_, now_, DataCenterOf(index));
  if (complete) balancers_[index]->OnMembershipComplete(now_);
}

void Simulation::AddSidecar(int index, const std::string& service,
                            const FakeUpstream::Options& options) {
  auto& host = sidecars_[index];
  host = std::make_unique<SidecarHost>();
  host->service = service;
  host->options = options;
  const auto self = SidecarAddress(index);
  FakeUpstream::Output output;
  output.send = [this, index, self](const Segment& segment) {
    After(kLocalLatency, [this, index, self, segment] {
      if (isolated_.contains(self)) return;
      OnSidecarEvent(index, [this, index, self, segment] {
        Outbox out;
        sidecar(index).OnUpstreamPacket(segment, ToPacket(segment), now_, out);
        ExecuteEffects(self, out);
      });
    });
  };
  output.return_packet = [this, index, self](const Segment& segment,
                                             std::uint32_t token) {
    After(kLocalLatency, [this, index, self, segment, token] {
      if (isolated_.contains(self)) return;
      OnSidecarEvent(index, [this, index, self, segment, token] {
        Outbox out;
        sidecar(index).OnReturned(token, segment, ToPacket(segment), now_, out);
        ExecuteEffects(self, out);
      });
    });
  };
  output.after = [this](milliseconds delay, std::function<void()> run) {
    After(delay, std::move(run));
  };
  output.draw_service_time = draw_service_time_;
  output.receives = [this, index] {
    if (received_) received_(index);
  };
  auto upstream_options = options;
  upstream_options.first_seq += static_cast<std::uint32_t>(index) * kSeqOffset;
  host->upstream = std::make_unique<FakeUpstream>(upstream_options, output);
  host->upstream_started = now_;
  RestartSidecar(index);
}

void Simulation::RestartUpstream(int index) {
  auto& host = *sidecars_.at(index);
  host.upstream->Restart();
  host.upstream_started = now_;
  host.report_count = 0;
}

void Simulation::RestartSidecar(int index) {
  auto& host = *sidecars_.at(index);
  host.sidecar =
      std::make_unique<Sidecar>(SidecarAddress(index), TagOf(host.service),
                                observer_, ProcessStart{now_, TimeOfDay(now_)});
  for (auto& [number, balancer] : balancers_) {
    balancer->OnSidecarRestart(SidecarAddress(index));
  }
}

void Simulation::Report(int index, bool draining) {
  auto& host = *sidecars_.at(index);
  host.last_report = now_;
  host.draining = draining;
  UpstreamReport report;
  report.id = "upstream-" + std::to_string(index) + "-" +
              std::to_string(host.upstream->start());
  report.started_at = TimeOfDay(host.upstream_started);
  report.sequence = ++host.report_count;
  report.draining = draining;
  report.slots = host.options.slots;
  const auto warm_at = host.upstream_started + warmup_;
  if (warm_at > now_) {
    report.warmup_left =
        std::chrono::duration_cast<milliseconds>(warm_at - now_);
  }
  host.sidecar->OnReport(report, now_);
}

std::shared_ptr<RouteTable> Simulation::MakeRoutes(std::uint64_t version,
                                                   const std::string& service) {
  auto routes = std::make_shared<RouteTable>();
  routes->version = version;
  routes->routes[kServiceAddress].targets.push_back({TagOf(service), 1});
  return routes;
}

void Simulation::SetRoutes(std::uint64_t version, const std::string& service,
                           milliseconds latency_target) {
  const auto routes = MakeRoutes(version, service);
  auto& route = routes->routes[kServiceAddress];
  if (latency_target > milliseconds{0}) route.latency_target = latency_target;
  for (auto& [index, balancer] : balancers_) SetRoutesOf(index, routes);
}

void Simulation::SetRoutesOf(int index,
                             const std::shared_ptr<RouteTable>& routes) {
  auto& balancer = *balancers_.at(index);
  auto table = std::make_shared<RouteTable>(*routes);
  table->InheritFormerServices(balancer.routes());
  table->InheritWarmUpLimits(balancer.routes());
  const auto version = balancer.routes().version;
  balancer.SetRoutes(table, version + 1 == table->version, now_);
  newest_version_ = std::max(newest_version_, table->version);
}

void Simulation::UpdateMembers(int balancer, const std::string& service,
                               const std::vector<int>& sidecars) {
  std::vector<Member> members;
  members.reserve(sidecars.size());
  for (const int index : sidecars) {
    members.push_back({.sidecar = SidecarAddress(index),
                       .open = true,
                       .data_center = DataCenterOf(index),
                       .frame_version = frame_versions_[balancer]});
  }
  balancers_.at(balancer)->SetMembers(TagOf(service), members, now_);
}

void Simulation::UpdateAllMembers() {
  std::map<std::string, std::vector<int>> services;
  for (const auto& [index, host] : sidecars_) {
    services[host->service].push_back(index);
  }
  for (const auto& [index, balancer] : balancers_) {
    for (const auto& [service, members] : services) {
      UpdateMembers(index, service, members);
    }
  }
}

Endpoint Simulation::ServiceAddress() { return kServiceAddress; }

FakeCaller& Simulation::AddCaller(const Endpoint& service) {
  const auto number = static_cast<std::uint32_t>(callers_.size());
  const FlowKey flow{{0x64400001 + number % 50,
                      static_cast<std::uint16_t>(1024 + number / 50)},
                     service};
  FakeCaller::Output output;
  output.send = [this](const Segment& segment) {
    if (IsLost()) return;
    After(kCallerLatency, [this, segment] {
      const bool any = entry_balancer_ == kAnyBalancer;
      const auto count = balancers_.size();
      const auto index = any ? HashFlow(segment.flow) % count : entry_balancer_;
      SendToBalancer(static_cast<int>(index), segment);
    });
  };
  output.after = [this](milliseconds delay, std::function<void()> run) {
    After(delay, std::move(run));
  };
  output.now = [this] { return now_; };
  callers_.push_back(std::make_unique<FakeCaller>(flow, output));
  caller_by_flow_[flow] = callers_.back().get();
  return *callers_.back();
}

void Simulation::SendToBalancer(int index, const Segment& segment) {
  const auto self = BalancerAddress(index);
  if (isolated_.contains(self)) return;
  const auto delay = Enqueue(self, &Link::in, sizeof segment);
  if (!delay) return;
  After(*delay, [this, index, self, segment] {
    const auto packet = ToPacket(segment);
    const auto suspended = suspended_.find(index);
    if (suspended == suspended_.end()) {
      Outbox out;
      balancer(index).OnPacket(segment, packet, now_, out);
      ExecuteEffects(self, out);
    } else if (suspended->second.size() < kSocketBuffer) {
      suspended->second.emplace_back([=, this] {
        Outbox out;
        balancer(index).OnBacklogPacket(segment, packet, now_, out);
        ExecuteEffects(self, out);
      });
    }
  });
}

void Simulation::Resume(int index) {
  const auto backlog = std::move(suspended_.at(index));
  suspended_.erase(index);
  balancer(index).OnResume(now_);
  for (const auto& handle : backlog) handle();
}

void Simulation::OnSidecarEvent(int index, std::function<void()> handle) {
  const auto suspended = suspended_sidecars_.find(index);
  if (suspended == suspended_sidecars_.end()) {
    handle();
  } else if (suspended->second.size() < kSocketBuffer) {
    suspended->second.push_back(std::move(handle));
  }
}

void Simulation::ResumeSidecar(int index) {
  const auto backlog = std::move(suspended_sidecars_.at(index));
  suspended_sidecars_.erase(index);
  sidecar(index).OnResume(now_);
  for (const auto& handle : backlog) handle();
}

std::optional<microseconds> Simulation::Enqueue(InstanceAddress instance,
                                                LinkQueue Link::*direction,
                                                std::size_t bytes) {
  const auto found = links_.find(instance);
  if (found == links_.end()) return microseconds{0};
  auto& queue = found->second.*direction;
  queue.free_at = std::max(queue.free_at, now_);
  if (queue.free_at - now_ > kMaxLinkQueue) return std::nullopt;
  const double seconds =
      static_cast<double>(bytes) / found->second.bytes_per_second;
  queue.free_at += std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
  return std::chrono::duration_cast<microseconds>(queue.free_at - now_);
}

void Simulation::ExecuteEffects(InstanceAddress from, Outbox& out) {
  for (const auto& effect : out.effects()) {
    const auto datagram = out.Datagram(effect);
    switch (effect.kind) {
      case EffectKind::kSendToInstance: {
        ++datagrams_;
        bytes_ += effect.size;
        const auto sent = Enqueue(from, &Link::out, effect.size);
        if (!sent || IsLost()) break;
        After(*sent + kInstanceLatency,
              [this, from, to = effect.instance,
               bytes = Bytes(datagram.begin(), datagram.end())] {
                const auto received = Enqueue(to, &Link::in, bytes.size());
                if (!received) return;
                After(*received, [=, this] { Deliver(from, to, bytes); });
              });
        break;
      }
      case EffectKind::kSendToUpstream:
        After(kLocalLatency, [this, from, token = effect.token,
                              segment = FromPacket(datagram)] {
          const int index = static_cast<int>(from - SidecarAddress(0));
          upstream(index).OnPacket(segment, token);
        });
        break;
      case EffectKind::kSendToCaller:
        SendToCaller(FromPacket(datagram));
        break;
      case EffectKind::kResetCaller: {
        const auto caller = caller_by_flow_.find(effect.flow);
        const bool open =
            caller != caller_by_flow_.end() && caller->second->open();
        if (open && FindOwner(effect.flow) >= 0) ++wrong_resets_;
        Segment reset;
        reset.flow = effect.flow;
        reset.rst = true;
        reset.seq = effect.seq;
        SendToCaller(reset);
        break;
      }
    }
  }
}

void Simulation::Deliver(InstanceAddress from, InstanceAddress to,
                         const Bytes& datagram) {
  if (isolated_.contains(to) || isolated_.contains(from)) return;
  const auto suspended =
      suspended_.find(static_cast<int>(to - BalancerAddress(0)));
  if (to < SidecarAddress(0) && suspended != suspended_.end()) {
    if (suspended->second.size() < kSocketBuffer) {
      suspended->second.emplace_back(
          [=, this] { Deliver(from, to, datagram); });
    }
    return;
  }
  if (to < SidecarAddress(0)) {
    const int balancer_index = static_cast<int>(to - BalancerAddress(0));
    Outbox out;
    balancer(balancer_index).OnDatagram(from, datagram, now_, out);
    ExecuteEffects(to, out);
    ScheduleLookups(balancer_index);
    return;
  }
  const int index = static_cast<int>(to - SidecarAddress(0));
  const bool backlog = suspended_sidecars_.contains(index);
  OnSidecarEvent(
      index, [=, this] { DeliverToSidecar(from, index, datagram, backlog); });
}

void Simulation::DeliverToSidecar(InstanceAddress from, int index,
                                  const Bytes& datagram, bool backlog) {
  Outbox out;
  const auto kind = KindOf(datagram);
  if (kind == FrameKind::kProbe || kind == FrameKind::kOwnerQuery) {
    if (kind == FrameKind::kOwnerQuery && earlier_builds_.contains(index)) {
      return;
    }
    sidecar(index).OnControlDatagram(from, datagram, backlog, now_, out);
  } else {
    ByteView packet;
    const auto frame = DecodeSegmentFrame(datagram, packet);
    if (!frame) return;
    const auto segment = FromPacket(packet);
    if (backlog) {
      sidecar(index).OnBacklogFrame(*frame, segment, packet, now_, out);
    } else {
      sidecar(index).OnFrame(*frame, segment, packet, now_, out);
    }
  }
  ExecuteEffects(SidecarAddress(index), out);
}

void Simulation::ScheduleLookups(int index) {
  if (!balancer(index).HasOwnerLookups() || !advancing_.insert(index).second) {
    return;
  }
  After(OwnerLookup::kBatchInterval, [this, index] {
    advancing_.erase(index);
    if (suspended_.contains(index)) return;
    Outbox out;
    balancer(index).AdvanceLookups(now_, out);
    ExecuteEffects(BalancerAddress(index), out);
    ScheduleLookups(index);
  });
}

void Simulation::SendToCaller(const Segment& segment) {
  if (IsLost()) return;
  After(kCallerLatency, [this, segment] {
    const auto found = caller_by_flow_.find(segment.flow);
    if (found != caller_by_flow_.end()) found->second->OnPacket(segment);
  });
}

int Simulation::FindOwner(const FlowKey& flow) const {
  for (const auto& [index, host] : sidecars_) {
    if (host->upstream->alive() && host->upstream->Holds(flow)) return index;
  }
  return -1;
}

void Simulation::Tick() {
  for (auto& [index, balancer] : balancers_) {
    if (suspended_.contains(index)) continue;
    Outbox out;
    balancer->OnStoreRead(newest_version_, now_);
    balancer->OnTick(now_, out);
    ExecuteEffects(BalancerAddress(index), out);
    ScheduleLookups(index);
  }
  for (auto& [index, host] : sidecars_) {
    if (suspended_sidecars_.contains(index)) continue;
    Outbox out;
    const bool due = host->report_count > 0 &&
                     now_ - host->last_report >=
                         UpstreamLivenessTimer::kDefaultReportInterval;
    if (due && host->upstream->alive()) Report(index, host->draining);
    host->sidecar->OnTick(now_, out);
    ExecuteEffects(SidecarAddress(index), out);
  }
  After(kTickInterval, [this] { Tick(); });
}

void Simulation::Run(microseconds time) {
  if (!ticking_) {
    ticking_ = true;
    Tick();
  }
  const auto end = now_ + time;
  while (!events_.empty() && events_.top().time <= end) {
    auto event = events_.top();
    events_.pop();
    now_ = event.time;
    event.run();
  }
  now_ = end;
}

}  // namespace cowslip::segment::test
