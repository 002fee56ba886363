#include "review/standin/deployment.hpp"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "platform/address.h"
#include "platform/http_client.h"

namespace review {
namespace {

using cowslip::LastReason;
using cowslip::platform_adapter::AdapterError;
using cowslip::platform_adapter::AddressText;
using cowslip::platform_adapter::HttpCall;
using cowslip::platform_adapter::HttpResponse;

constexpr int kPacketPort = 8172;
constexpr int kReadyPort = 8167;
constexpr int kControlPort = 8166;
constexpr int kOutboundPort = 8162;
constexpr int kAppPort = 8360;
constexpr int kStorePort = 8169;
// Third octets of the addresses.
constexpr int kFronts = 1;
constexpr int kSides = 2;
constexpr int kStores = 3;
constexpr int kClients = 4;
constexpr int kRoutes = 9;
constexpr milliseconds kTick{10};
constexpr milliseconds kAskSpacing{10};
/// The platform asks each daemon twice a second whether it is ready.
constexpr milliseconds kProbeInterval{500};
constexpr int kMisses = 2;
/// Time after which a process that starts is not one of the first start.
constexpr milliseconds kBootstrapTime{3000};
const std::string kZone = "lima-ate";

std::string Quoted(const Endpoint& endpoint) {
  return '"' + ToString(endpoint) + '"';
}

}  // namespace

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Deployment::Deployment(const std::string& folder, Options options)
    : options_(std::move(options)),
      record_(std::make_unique<Record>(folder + "/record.txt")),
      timers_(loop_.base()),
      random_(std::random_device()()) {}

Deployment::~Deployment() {
  balancers_.clear();
  sidecars_.clear();
  std::error_code ignored;
  if (!folder_.empty()) std::filesystem::remove_all(folder_, ignored);
}

std::unique_ptr<Deployment> Deployment::Create(const std::string& folder,
                                               Options options) {
  std::unique_ptr<Deployment> deployment(
      new Deployment(folder, std::move(options)));
  // Another network of loopback addresses if the ports are in use.
  for (int attempt = 0; attempt < 10; ++attempt) {
    deployment->network_ = 20 + (getpid() + 13 * attempt) % 200;
    if (deployment->Open()) return deployment;
  }
  return nullptr;
}

Endpoint Deployment::Address(int kind, int host, int port) const {
  const auto address = 127U << 24U | static_cast<unsigned>(network_) << 16U |
                       static_cast<unsigned>(kind) << 8U |
                       static_cast<unsigned>(host);
  return {address, static_cast<std::uint16_t>(port)};
}

bool Deployment::Open() {
  balancers_.clear();
  sidecars_.clear();
  servers_.clear();
  LastReason<AdapterError> reason;
  auto* base = loop_.base();
  store_ = StoreStandin::Listen(base, Address(kStores, 1, kStorePort), reason);
  if (!store_) return false;
  auto socket = UdpSocket::Bind(Address(kClients, 1, kPacketPort), reason);
  if (!socket) return false;
  client_socket_ = std::make_unique<UdpSocket>(std::move(*socket));
  client_event_ = std::make_unique<EventSource>(base, client_socket_->fd(),
                                                EV_READ | EV_PERSIST,
                                                [this] { DeliverToClients(); });
  client_event_->Enable();
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (folder_.empty()) {
    if (mkdtemp(name.data()) == nullptr) return false;
    folder_ = name;
  }
  for (int i = 0; i < options_.balancers; ++i) {
    balancers_.push_back(MakeMachine("front-" + std::to_string(i + 1),
                                     "balancer", Address(kFronts, 10 + i, 0),
                                     ""));
  }
  for (std::size_t i = 0; i < options_.servers.size(); ++i) {
    const int host = 10 + static_cast<int>(i);
    Server::Options server;
    server.name = "s" + std::to_string(i + 1);
    server.service = options_.servers[i];
    server.zone = kZone;
    server.app = Address(kSides, host, kAppPort);
    server.outbound = Address(kSides, host, kOutboundPort);
    server.control = Address(kSides, host, kControlPort);
    server.capacity = options_.capacity;
    server.heartbeat = options_.heartbeat;
    server.work = options_.work;
    auto app = UdpSocket::Bind(server.app, reason);
    if (!app) return false;
    sidecars_.push_back(MakeMachine(
        "side-" + std::to_string(i + 1), "sidecar", Address(kSides, host, 0),
        R"("app":)" + Quoted(server.app) + R"(,"service":")" + server.service +
            R"(",)"));
    Server::Events events;
    events.on_packet = [this](Server& at, const FlowEnds& flow,
                              const Packet& packet, bool own) {
      OnPacketAtServer(at, flow, packet, own);
    };
    events.on_open = [this](Server& at, const FlowEnds& flow) {
      flows_[flow].owner = &at;
      record_->Line("flow " + Describe(flow) + " opens at server " + at.id());
    };
    events.on_run = [this](Server& at, const FlowEnds& flow,
                           const std::string& id) {
      ++runs_[id];
      record_->Line("server " + at.id() + " runs " + id + " of " +
                    Describe(flow));
    };
    servers_.push_back(std::make_unique<Server>(
        base, timers_, *record_, server, events, std::move(*app), random_()));
  }
  tick_ = std::make_unique<EventSource>(base, [this] { Tick(); });
  probe_ = std::make_unique<EventSource>(base, [this] { Probe(); });
  return true;
}

std::unique_ptr<Machine> Deployment::MakeMachine(const std::string& name,
                                                 const std::string& role,
                                                 const Endpoint& ip,
                                                 const std::string& more) {
  const auto at = [&](int port) {
    return Quoted({ip.address, static_cast<std::uint16_t>(port)});
  };
  const bool front = role == "balancer";
  const auto path = folder_ + "/" + name + ".json";
  std::string seeds;
  for (int i = 0; i < std::min(options_.balancers, 3); ++i) {
    seeds +=
        (i > 0 ? "," : "") + Quoted(Address(kFronts, 10 + i, kControlPort));
  }
  std::ofstream(path)
      << R"({"nodeName":")" << name << R"(","role":")" << role
      << R"(","machineClass":")" << (front ? "front" : "side")
      << R"(","serves":)" << (front ? R"(["front","control"])" : R"(["side"])")
      << R"(,"ip":")" << AddressText(ip.address) << R"(","zone":")" << kZone
      << R"(","region":"lima","zones":{")" << kZone << R"(":"lima"},)"
      << R"("listen":{"datagramAddr":)" << at(kPacketPort) << R"(,"ready":)"
      << at(kReadyPort) << R"(,"control":)" << at(kControlPort)
      << (front ? "" : R"(,"outbound":)" + at(kOutboundPort))
      << R"(},"internalPorts":[7720,7735],"seeds":[)" << seeds
      << R"(],"bootstrap":true,"countLoss":false,)"
      << R"("limits":{"cpuQuota":0.25,"cores":1,"memoryMb":260,"maxFds":4100,)"
      << R"("linkMbps":1000.0,"diskMb":0},"dataDir":null,"discovery":"local",)"
      << R"("entry":"announce","heartbeatMs":)" << options_.heartbeat.count()
      << R"(,"contracts":["base","drain","config","cost","recover","flows",)"
      << R"("platform"],"faultTolerance":{"machines":1,"zones":0,"regions":0},)"
      << more << R"("bounds":{"seedLagS":3,"addrReuseS":2,"stableMs":4000,)"
      << R"("ackMs":5000,"syncS":4,"drainMs":3000,"graceS":6,)"
      << R"("lossSlackMs":200,"configApplyMs":3000,"rollbackSlackMs":250,)"
      << R"("skewMaxMs":12000,"recoverS":12,"flowSkewMs":2000,"flowTtlS":60},)"
      << R"("hash":"mod","deployMode":"agent","platform":{"address":)"
      << Quoted(Address(kStores, 1, kStorePort))
      << R"(,"deployMode":"kv","writesPerS":400,"readsPerS":2000,)"
      << R"("historyS":20,"valueBytes":1048576,"ttlMinMs":1000}})";
  return std::make_unique<Machine>(
      Machine::Options{name, role, path, folder_ + "/" + name + ".log",
                       ToString(Endpoint{ip.address, kReadyPort})});
}

void Deployment::Configure(std::uint64_t version,
                           const std::vector<Route>& routes) {
  std::string text = R"({"version":)" + std::to_string(version) +
                     R"(,"services":[],"limits":{"idleTimeoutMs":)" +
                     std::to_string(options_.idle_timeout_ms) +
                     R"(},"routes":[)";
  std::string listed;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const auto& route = routes[i];
    const auto host = AddressText(Address(kRoutes, 1, 0).address);
    text += (i > 0 ? "," : "") + (R"({"host":")" + host) + R"(","prefix":"/)" +
            std::to_string(route.port) + R"(/","service":")" + route.service +
            R"(","type":"safe","timeoutMs":4000,"priority":1})";
    listed += " " + std::to_string(route.port) + "=" + route.service;
  }
  store_->Put("op/config", text + "]}");
  record_->Line("operator writes version " + std::to_string(version) + ":" +
                listed);
}

/// `bootstrap` is true only when the whole system starts for the first time.
void Deployment::EndBootstrap() {
  for (auto* machines : {&balancers_, &sidecars_}) {
    for (const auto& machine : *machines) {
      std::ostringstream text;
      text << std::ifstream(machine->options().settings).rdbuf();
      auto settings = text.str();
      const std::string first = R"("bootstrap":true)";
      const auto found = settings.find(first);
      if (found == std::string::npos) continue;
      settings.replace(found, first.size(), R"("bootstrap":false)");
      std::ofstream(machine->options().settings) << settings;
    }
  }
}

void Deployment::StartAll() {
  At(kBootstrapTime, [this] { EndBootstrap(); });
  for (auto& server : servers_) server->Start();
  for (auto* machines : {&balancers_, &sidecars_}) {
    for (auto& machine : *machines) machine->Start();
  }
  tick_->Schedule(kTick);
  probe_->Schedule(kProbeInterval);
}

void Deployment::At(milliseconds time, std::function<void()> step) {
  const auto passed =
      milliseconds(static_cast<std::int64_t>(record_->ElapsedMs()));
  timers_.After(std::max(time - passed, milliseconds(0)), std::move(step));
}

void Deployment::RunUntil(milliseconds time) {
  At(time, [this] { loop_.Stop(); });
  loop_.Run();
}

void Deployment::AskAllAt(milliseconds time) {
  At(time, [this] {
    auto delay = milliseconds(0);
    for (auto& client : clients_) {
      timers_.After(delay, [flow = client.get()] { flow->Ask(); });
      delay += kAskSpacing;
    }
  });
}

void Deployment::Roll(const std::vector<Machine*>& machines, milliseconds first,
                      milliseconds gap) {
  auto time = first;
  for (auto* machine : machines) {
    At(time, [this, machine] {
      record_->Line("SIGTERM to " + machine->options().name);
      machine->Stop(grace_);
    });
    time += gap;
  }
}

void Deployment::Tick() {
  tick_->Schedule(kTick);
  for (auto* machines : {&balancers_, &sidecars_}) {
    for (auto& machine : *machines) {
      const int starts = machine->starts();
      const bool running = machine->running();
      machine->Poll();
      if (running && !machine->running()) {
        record_->Line("process of " + machine->options().name + " has ended");
      }
      if (machine->starts() != starts) {
        record_->Line("process of " + machine->options().name + " starts");
      }
    }
  }
}

void Deployment::Probe() {
  probe_->Schedule(kProbeInterval);
  for (auto& machine : balancers_) {
    HttpCall call;
    call.server = *cowslip::ParseEndpoint(machine->options().ready);
    call.target = "/cowslippitch/readyz";
    call.timeout = kProbeInterval;
    cowslip::platform_adapter::StartHttpCall(
        loop_.base(), call,
        [this, target = machine.get()](const HttpResponse& response) {
          const bool before = target->in_rotation;
          if (response.status == 200) {
            target->missed_probes = 0;
            target->in_rotation = true;
          } else if (++target->missed_probes >= kMisses) {
            target->in_rotation = false;
          }
          if (before != target->in_rotation) {
            record_->Line(target->options().name +
                          (target->in_rotation ? " is in" : " is out of") +
                          " rotation");
          }
        });
  }
}

ClientFlow& Deployment::Open(int route_port) {
  const FlowEnds ends{Address(kClients, 1, next_port_++),
                      Address(kRoutes, 1, route_port)};
  ClientFlow::Output output;
  output.send = [this](const Packet& packet) { RoutePacket(packet); };
  output.after = [this](milliseconds delay, std::function<void()> run) {
    timers_.After(delay, std::move(run));
  };
  clients_.push_back(std::make_unique<ClientFlow>(
      ends, output, *record_, static_cast<std::uint32_t>(random_())));
  client_by_flow_[ends] = clients_.back().get();
  clients_.back()->Open();
  return *clients_.back();
}

/// Routers hash the four addresses and ports over the daemons in rotation; if
/// fewer than half of them are in rotation, over all.
void Deployment::RoutePacket(const Packet& packet) {
  std::vector<Machine*> targets;
  for (const auto& machine : balancers_) {
    if (machine->in_rotation) targets.push_back(machine.get());
  }
  if (2 * targets.size() < balancers_.size()) {
    targets.clear();
    for (const auto& machine : balancers_) targets.push_back(machine.get());
  }
  std::uint64_t hash = packet.source.address;
  for (const std::uint64_t part :
       {std::uint64_t{packet.source.port}, std::uint64_t{packet.target.address},
        std::uint64_t{packet.target.port}}) {
    hash = (hash ^ part) * 0x9e3779b97f4a7c15ULL;
    hash ^= hash >> 29U;
  }
  const auto& target = *targets[hash % targets.size()];
  auto address = *cowslip::ParseEndpoint(target.options().ready);
  address.port = kPacketPort;
  client_socket_->Send(address, Encode(packet));
}

void Deployment::DeliverToClients() {
  client_socket_->Drain([&](const Endpoint&, std::span<std::uint8_t> datagram) {
    const auto packet = Decode(datagram);
    if (!packet) return;
    const FlowEnds flow{packet->target, packet->source};
    const auto found = client_by_flow_.find(flow);
    if (found == client_by_flow_.end()) return;
    if (lose_to_client_ && lose_to_client_(*packet)) {
      record_->Line("a datagram to client " + Describe(flow) + " is lost");
      return;
    }
    const bool from_system = packet->has(kRst) && !HasValidSum(*packet);
    const bool was_open = found->second->state() == ClientFlow::State::kOpen;
    found->second->OnPacket(*packet);
    if (from_system && was_open && found->second->was_reset_open()) {
      OnResetFromSystem(flow);
    }
  });
}

void Deployment::OnResetFromSystem(const FlowEnds& flow) {
  auto& seen = flows_[flow];
  if (seen.owner == nullptr || !seen.owner->Holds(flow)) return;
  ++seen.resets_while_open;
  record_->Line("RESET by the system of the open flow " + Describe(flow) +
                ", which server " + seen.owner->id() + " holds");
}

void Deployment::OnPacketAtServer(Server& server, const FlowEnds& flow,
                                  const Packet&, bool own) {
  auto& seen = flows_[flow];
  if (own) {
    ++seen.own_packets;
    seen.foreign_packets = 0;
    return;
  }
  if (seen.owner == nullptr || !seen.owner->Holds(flow)) return;
  if (seen.foreign_packets++ == 0) {
    seen.foreign_since_ms = record_->ElapsedMs();
  }
  record_->Line("packet of flow " + Describe(flow) + " reaches server " +
                server.id() + ", its own is " + seen.owner->id());
}

std::string Deployment::LogOf(const Machine& machine) const {
  std::ostringstream text;
  text << std::ifstream(machine.options().log).rdbuf();
  return text.str();
}

void Deployment::CopyLogs(const std::vector<std::string>& words) {
  for (auto* machines : {&balancers_, &sidecars_}) {
    for (auto& machine : *machines) {
      std::istringstream lines(LogOf(*machine));
      std::string line;
      while (std::getline(lines, line)) {
        for (const auto& word : words) {
          if (line.find(word) == std::string::npos) continue;
          record_->Line("log " + line);
          break;
        }
      }
    }
  }
}

int RunCase(const std::string& folder, const Deployment::Options& options,
            const std::function<Outcome(Deployment&)>& body) {
  auto deployment = Deployment::Create(folder, options);
  if (!deployment) {
    std::cout << "the case could not run: no free addresses\n";
    return static_cast<int>(Outcome::kNotRun);
  }
  const auto outcome = body(*deployment);
  const char* words[] = {"the rule held", "the rule was broken",
                         "the case could not run"};
  const auto text = words[static_cast<int>(outcome)];
  deployment->record().Line(text);
  std::cout << text << '\n';
  return static_cast<int>(outcome);
}

}  // namespace review
