#include "segment/world.h"

#include <cstring>

namespace cowslip::segment::test {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr microseconds kInstanceDelay{500};
constexpr microseconds kCallerDelay{1000};
constexpr microseconds kLocalDelay{50};
constexpr milliseconds kTick{20};
constexpr Endpoint kServiceAddress{0xC6120001, 443};

/// The packet that stands for a segment: its own bytes.
Bytes ToPacket(const Segment& segment) {
  Bytes packet(sizeof segment);
  std::memcpy(packet.data(), &segment, sizeof segment);
  return packet;
}

Segment FromPacket(ByteView packet) {
  Segment segment;
  std::memcpy(&segment, packet.data(), sizeof segment);
  return segment;
}

}  // namespace

void World::After(microseconds delay, std::function<void()> run) {
  events_.push({now_ + delay, order_++, std::move(run)});
}

bool World::Lost() {
  return loss_ > 0 &&
         std::uniform_real_distribution<double>(0, 1)(random_) < loss_;
}

void World::AddBalancer(int index, bool complete) {
  balancers_[index] =
      std::make_unique<Balancer>(BalancerAddress(index), observer_, now_);
  if (complete) balancers_[index]->SetComplete(now_);
}

void World::AddSidecar(int index, const std::string& service,
                       const FakeUpstream::Options& options) {
  auto& site = sidecars_[index];
  site = std::make_unique<Site>();
  site->service = service;
  site->options = options;
  const auto self = SidecarAddress(index);
  FakeUpstream::Output output;
  output.send = [this, index, self](const Segment& segment) {
    After(kLocalDelay, [this, index, self, segment] {
      if (cut_.contains(self)) return;
      Outbox out;
      sidecar(index).OnUpstreamPacket(segment, ToPacket(segment), now_, out);
      CarryOut(self, out);
    });
  };
  output.give_back = [this, index, self](const Segment& segment,
                                         std::uint32_t token) {
    After(kLocalDelay, [this, index, self, segment, token] {
      if (cut_.contains(self)) return;
      Outbox out;
      sidecar(index).OnBounced(token, segment, ToPacket(segment), now_, out);
      CarryOut(self, out);
    });
  };
  output.after = [this](milliseconds delay, std::function<void()> run) {
    After(delay, std::move(run));
  };
  site->upstream = std::make_unique<FakeUpstream>(options, output);
  RestartSidecar(index, false);
}

void World::RestartSidecar(int index, bool has_predecessor) {
  auto& site = *sidecars_.at(index);
  site.sidecar = std::make_unique<Sidecar>(
      SidecarAddress(index), TagOf(site.service), observer_, now_);
  site.sidecar->SetPredecessor(has_predecessor);
  for (auto& [number, balancer] : balancers_) {
    balancer->OnRestart(SidecarAddress(index));
  }
}

void World::Report(int index, bool draining) {
  auto& site = *sidecars_.at(index);
  site.reported = now_;
  site.draining = draining;
  UpstreamReport report;
  report.id = "upstream-" + std::to_string(index) + "-" +
              std::to_string(site.upstream->start());
  report.born = milliseconds(site.upstream->start());
  report.sequence = ++site.reports;
  report.draining = draining;
  report.slots = site.options.slots;
  site.sidecar->OnReport(report, now_);
}

void World::SetRoutes(std::uint64_t version, const std::string& service) {
  auto routes = std::make_shared<RouteTable>();
  routes->version = version;
  routes->routes[kServiceAddress].targets.push_back({TagOf(service), 1});
  for (auto& [index, balancer] : balancers_) balancer->SetRoutes(routes);
}

void World::TellMembers(int balancer, const std::string& service,
                        const std::vector<int>& sidecars) {
  std::vector<Member> members;
  members.reserve(sidecars.size());
  for (const int index : sidecars) {
    members.push_back({SidecarAddress(index), true});
  }
  balancers_.at(balancer)->SetMembers(TagOf(service), members, now_);
}

void World::TellAllMembers() {
  std::map<std::string, std::vector<int>> services;
  for (const auto& [index, site] : sidecars_) {
    services[site->service].push_back(index);
  }
  for (const auto& [index, balancer] : balancers_) {
    for (const auto& [service, members] : services) {
      TellMembers(index, service, members);
    }
  }
}

FakeCaller& World::AddCaller() {
  const auto number = static_cast<std::uint32_t>(callers_.size());
  const FlowKey flow{{0x64400001 + number % 50,
                      static_cast<std::uint16_t>(1024 + number / 50)},
                     kServiceAddress};
  FakeCaller::Output output;
  output.send = [this](const Segment& segment) {
    if (Lost()) return;
    After(kCallerDelay, [this, segment] {
      const auto self = BalancerAddress(entry_);
      if (cut_.contains(self)) return;
      Outbox out;
      balancer(entry_).OnPacket(segment, ToPacket(segment), now_, out);
      CarryOut(self, out);
    });
  };
  output.after = [this](milliseconds delay, std::function<void()> run) {
    After(delay, std::move(run));
  };
  output.now = [this] { return now_; };
  callers_.push_back(std::make_unique<FakeCaller>(flow, output));
  by_flow_[flow] = callers_.back().get();
  return *callers_.back();
}

void World::CarryOut(InstanceAddress from, Outbox& out) {
  for (const auto& effect : out.effects()) {
    const auto datagram = out.DatagramOf(effect);
    switch (effect.kind) {
      case EffectKind::kInstance:
        if (Lost()) break;
        After(kInstanceDelay,
              [this, from, to = effect.instance,
               bytes = Bytes(datagram.begin(), datagram.end())] {
                Deliver(from, to, bytes);
              });
        break;
      case EffectKind::kUpstream:
        After(kLocalDelay, [this, from, token = effect.token,
                            segment = FromPacket(datagram)] {
          const int index = static_cast<int>(from - SidecarAddress(0));
          upstream(index).OnPacket(segment, token);
        });
        break;
      case EffectKind::kCaller:
        ToCaller(FromPacket(datagram));
        break;
      case EffectKind::kReset: {
        const auto caller = by_flow_.find(effect.flow);
        const bool open = caller != by_flow_.end() && caller->second->open();
        if (open && HolderOf(effect.flow) >= 0) ++wrong_resets_;
        Segment reset;
        reset.flow = effect.flow;
        reset.rst = true;
        reset.seq = effect.seq;
        ToCaller(reset);
        break;
      }
    }
  }
}

void World::Deliver(InstanceAddress from, InstanceAddress to,
                    const Bytes& datagram) {
  if (cut_.contains(to) || cut_.contains(from)) return;
  Outbox out;
  const auto kind = KindOf(datagram);
  if (to < SidecarAddress(0)) {
    const auto receipt = DecodeReceipt(datagram);
    if (receipt) {
      balancer(static_cast<int>(to - BalancerAddress(0)))
          .OnReceipt(from, *receipt, now_, out);
    }
  } else if (kind == FrameKind::kProbe) {
    sidecar(static_cast<int>(to - SidecarAddress(0))).OnProbe(from, now_, out);
  } else {
    ByteView packet;
    const auto frame = DecodeSegmentFrame(datagram, packet);
    if (!frame) return;
    sidecar(static_cast<int>(to - SidecarAddress(0)))
        .OnFrame(*frame, FromPacket(packet), packet, now_, out);
  }
  CarryOut(to, out);
}

void World::ToCaller(const Segment& segment) {
  if (Lost()) return;
  After(kCallerDelay, [this, segment] {
    const auto found = by_flow_.find(segment.flow);
    if (found != by_flow_.end()) found->second->OnPacket(segment);
  });
}

int World::HolderOf(const FlowKey& flow) const {
  for (const auto& [index, site] : sidecars_) {
    if (site->upstream->alive() && site->upstream->Holds(flow)) return index;
  }
  return -1;
}

void World::Tick() {
  for (auto& [index, balancer] : balancers_) {
    Outbox out;
    balancer->OnTick(now_, out);
    CarryOut(BalancerAddress(index), out);
  }
  for (auto& [index, site] : sidecars_) {
    Outbox out;
    const bool due =
        site->reports > 0 &&
        now_ - site->reported >= UpstreamLivenessTimer::kDefaultReportInterval;
    if (due && site->upstream->alive()) Report(index, site->draining);
    site->sidecar->OnTick(now_, out);
    CarryOut(SidecarAddress(index), out);
  }
  After(kTick, [this] { Tick(); });
}

void World::Run(milliseconds time) {
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
