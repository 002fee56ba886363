#include "lab.hpp"

#include <signal.h>
#include <stdlib.h>
#include <sys/stat.h>

#include <cstdio>
#include <filesystem>
#include <random>
#include <stdexcept>

#include "platform/address.h"
#include "platform/packet_header.h"
#include "platform/process_clock.h"
#include "platform/standins/packet_writer.h"

namespace review {
namespace {

constexpr milliseconds kTick{10};
constexpr milliseconds kProbeInterval{500};
/// The platform starts a process again this long after its end.
constexpr milliseconds kRestartDelay{500};
// Offsets from the base port.
constexpr int kPacketPort = 0;
constexpr int kReadyPort = 1;
constexpr int kControlPort = 2;
constexpr int kOutboundPort = 3;
constexpr int kAppPort = 4;
constexpr int kStorePort = 5;
constexpr int kInternalPort = 10;

std::string Quoted(const Endpoint& endpoint) {
  return '"' + cowslip::ToString(endpoint) + '"';
}

}  // namespace

bool WithTrouble() {
  const char* value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Lab::Lab(std::string repository, std::string record_file, Bounds bounds)
    : repository_(std::move(repository)),
      record_(record_file),
      bounds_(bounds),
      timers_(loop_.base()),
      started_(pa::Now()) {
  char name[] = "/tmp/review-XXXXXX";
  if (mkdtemp(name) == nullptr) throw std::runtime_error("no temporary folder");
  folder_ = name;
  std::random_device random;
  cowslip::LastReason<pa::AdapterError> reason;
  for (int attempt = 0; attempt < 50 && !store_; ++attempt) {
    number_ = 1 + static_cast<int>(random() % 250);
    port_ = static_cast<std::uint16_t>(15000 + 40 * (random() % 300));
    store_ = pa::standins::StoreStandin::Listen(
        loop_.base(), {Address(83, 1), static_cast<std::uint16_t>(port_ + kStorePort)}, reason);
  }
  if (!store_) throw std::runtime_error(reason.Message());
  const auto store_port = static_cast<std::uint16_t>(port_ + kStorePort);
  front_proxy_ = pa::standins::TcpProxy::Listen(loop_.base(), timers_, {Address(83, 2), store_port},
                                                {Address(83, 1), store_port}, reason);
  if (!front_proxy_) throw std::runtime_error(reason.Message());
  tick_ = std::make_unique<pa::EventSource>(loop_.base(), [this] { Tick(); });
  tick_->Schedule(kTick);
  probe_ = std::make_unique<pa::EventSource>(loop_.base(), [this] { Probe(); });
  probe_->Schedule(kProbeInterval);
}

Lab::~Lab() {
  for (auto* machines : {&fronts_, &sides_}) {
    for (auto& machine : *machines) machine->process.End();
  }
  if (getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_);
  } else {
    std::fprintf(stderr, "logs: %s\n", folder_.c_str());
  }
}

std::uint32_t Lab::Address(int network, int host) const {
  return (127U << 24U) | (static_cast<unsigned>(network) << 16U) |
         (static_cast<unsigned>(number_) << 8U) | static_cast<unsigned>(host);
}

Endpoint Lab::RouteAddress(int route) const {
  return {Address(86, 1), static_cast<std::uint16_t>(8440 + route)};
}

void Lab::Note(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof time, "%9.3f ", Seconds());
  record_ << time << line << '\n';
  record_.flush();
}

void Lab::NoteFlows() {
  for (const auto& [key, flow] : flows_) {
    char line[200];
    std::snprintf(line, sizeof line,
                  "flow %s to %s: opened %.3f, requests sent %d, answered %d, run %d, resets %d "
                  "(its server sent %d)",
                  cowslip::ToString(key.caller).c_str(), cowslip::ToString(key.service).c_str(),
                  std::chrono::duration<double>(flow.opened - started_).count(), flow.requests,
                  flow.answered, flow.runs, flow.resets, flow.server_resets);
    record_ << line << '\n';
  }
}

std::string Lab::Settings(const Machine& machine, const std::vector<std::uint32_t>& seeds,
                          const std::string& extra) const {
  const auto at = [&](std::uint32_t ip, int port) {
    return Quoted({ip, static_cast<std::uint16_t>(port_ + port)});
  };
  const bool front = machine.role == "balancer";
  std::string list;
  for (const auto seed : seeds) list += (list.empty() ? "" : ",") + at(seed, kControlPort);
  return R"({"nodeName":")" + machine.name + R"(","role":")" + machine.role +
         R"(","machineClass":")" + (front ? "front" : "side") + R"(","serves":)" +
         (front ? R"(["front","control"])" : R"(["side"])") + R"(,"ip":")" +
         pa::AddressText(machine.ip) + R"(","zone":")" + machine.zone +
         R"(","region":"r","listen":{"datagramAddr":)" + at(machine.ip, kPacketPort) +
         R"(,"ready":)" + at(machine.ip, kReadyPort) + R"(,"control":)" +
         at(machine.ip, kControlPort) +
         (front ? std::string() : R"(,"outbound":)" + at(machine.ip, kOutboundPort)) +
         R"(},"internalPorts":[)" + std::to_string(port_ + kInternalPort) + "," +
         std::to_string(port_ + kInternalPort + 15) + R"(],"seeds":[)" + list +
         R"(],"bootstrap":false,"heartbeatMs":)" + std::to_string(bounds_.heartbeat_ms) + "," +
         extra +
         R"("contracts":["base","drain","config","cost","recover","flows","platform"],)"
         R"("bounds":{"stableMs":)" + std::to_string(bounds_.stable_ms) +
         R"(,"drainMs":)" + std::to_string(bounds_.drain_ms) + R"(,"graceS":)" +
         std::to_string(bounds_.grace_s) + R"(,"configApplyMs":)" +
         std::to_string(bounds_.config_apply_ms) +
         R"(,"rollbackSlackMs":250,"skewMaxMs":)" + std::to_string(bounds_.skew_max_ms) +
         R"(,"flowSkewMs":)" + std::to_string(bounds_.flow_skew_ms) +
         R"(,"flowTtlS":60},"hash":"mod","deployMode":"agent","platform":{"address":)" +
         at(Address(83, machine.behind_proxy ? 2 : 1), kStorePort) +
         R"(,"deployMode":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,)"
         R"("valueBytes":1048576,"ttlMinMs":1000}})";
}

Machine& Lab::AddFront(const std::string& zone, const std::vector<std::uint32_t>& seeds,
                       bool behind_proxy) {
  auto machine = std::make_unique<Machine>();
  machine->behind_proxy = behind_proxy;
  machine->role = "balancer";
  machine->zone = zone;
  machine->ip = Address(81, next_front_);
  machine->name = "front-" + std::to_string(next_front_++);
  machine->settings = folder_ + "/" + machine->name + ".json";
  machine->log = folder_ + "/" + machine->name + ".log";
  std::ofstream(machine->settings) << Settings(*machine, seeds, "");
  fronts_.push_back(std::move(machine));
  return *fronts_.back();
}

Machine& Lab::AddSide(const std::string& zone, const std::string& service,
                      const std::vector<std::uint32_t>& seeds, milliseconds work,
                      std::uint32_t slots) {
  auto machine = std::make_unique<Machine>();
  machine->role = "sidecar";
  machine->zone = zone;
  machine->ip = Address(82, next_side_);
  machine->name = "side-" + std::to_string(next_side_);
  machine->settings = folder_ + "/" + machine->name + ".json";
  machine->log = folder_ + "/" + machine->name + ".log";
  const auto at = [&](int port) {
    return Endpoint{machine->ip, static_cast<std::uint16_t>(port_ + port)};
  };
  std::ofstream(machine->settings)
      << Settings(*machine, seeds,
                  R"("app":)" + Quoted(at(kAppPort)) + R"(,"service":")" + service + R"(",)");
  Server::Options options;
  options.service = service;
  options.zone = zone;
  options.app = at(kAppPort);
  options.outbound = at(kOutboundPort);
  options.control = at(kControlPort);
  options.heartbeat = milliseconds(bounds_.heartbeat_ms);
  options.work = work;
  options.slots = slots;
  options.first_seq = 1000U + 40'000'000U * static_cast<unsigned>(next_side_);
  ++next_side_;
  Server::Events events;
  events.on_run = [this](Server& server, const FlowKey& flow, std::uint32_t end) {
    const auto found = flows_.find(flow);
    if (found != flows_.end()) ++found->second.runs;
    if (on_run) on_run(server, flow, end);
  };
  events.on_own_reset = [this](Server&, const FlowKey& flow) {
    const auto found = flows_.find(flow);
    if (found != flows_.end()) ++found->second.server_resets;
  };
  machine->server = std::make_unique<Server>(loop_.base(), timers_, options, events);
  sides_.push_back(std::move(machine));
  return *sides_.back();
}

void Lab::Launch(Machine& machine) {
  machine.process.Start({"target/cowslip-platform", machine.role}, repository_,
                        "COWSLIPPITCH_SETTINGS=" + machine.settings, machine.log);
  machine.ended.reset();
  machine.last_disturbed = pa::Now();
}

void Lab::Start(Machine& machine) {
  machine.wanted = true;
  Launch(machine);
  if (!machine.server) return;
  // The server's first heartbeat comes once its sidecar listens.
  timers_.After(milliseconds(30), [&machine] { machine.server->Start(); });
}

void Lab::Signal(Machine& machine, int signal) {
  machine.last_disturbed = pa::Now();
  machine.process.Signal(signal);
}

void Lab::ChangeSeeds(Machine& machine, const std::vector<std::uint32_t>& seeds) {
  std::ofstream(machine.settings) << Settings(machine, seeds, "");
  machine.process.Signal(SIGHUP);
}

void Lab::Roll(Machine& machine) {
  Signal(machine, SIGTERM);
  const auto pid = machine.process.pid();
  timers_.After(milliseconds(1000 * bounds_.grace_s), [this, &machine, pid] {
    if (machine.process.pid() == pid) Signal(machine, SIGKILL);
  });
}

void Lab::Remove(Machine& machine) {
  machine.wanted = false;
  Roll(machine);
}

void Lab::Tick() {
  tick_->Schedule(kTick);
  const auto now = pa::Now();
  for (auto* machines : {&fronts_, &sides_}) {
    for (auto& machine : *machines) {
      if (!machine->wanted || machine->process.IsRunning()) continue;
      if (!machine->ended) machine->ended = now;
      if (now - *machine->ended >= kRestartDelay) Launch(*machine);
    }
  }
}

void Lab::Probe() {
  probe_->Schedule(kProbeInterval);
  for (auto& each : fronts_) {
    auto* machine = each.get();
    pa::HttpCall call;
    call.server = {machine->ip, static_cast<std::uint16_t>(port_ + kReadyPort)};
    call.target = "/cowslippitch/readyz";
    call.timeout = kProbeInterval;
    pa::StartHttpCall(loop_.base(), call, [machine](const pa::HttpResponse& response) {
      if (response.status == 200) {
        machine->missed_probes = 0;
        machine->in_rotation = true;
      } else if (++machine->missed_probes >= 2) {
        machine->in_rotation = false;
      }
    });
  }
}

void Lab::Configure(const std::map<int, std::string>& routes) {
  version_ += 1 + version_ % 3;
  std::string text = R"({"version":)" + std::to_string(version_) +
                     R"(,"services":[],"limits":{"idleTimeoutMs":15000},"routes":[)";
  for (const auto& [route, service] : routes) {
    if (text.back() != '[') text += ",";
    const auto address = RouteAddress(route);
    text += R"({"host":")" + pa::AddressText(address.address) + R"(","prefix":"/)" +
            std::to_string(address.port) + R"(/","service":")" + service +
            R"(","type":"safe","timeoutMs":4000,"sloMs":250,"priority":2})";
  }
  store_->Put("op/config", text + "]}");
  Note("operator: version " + std::to_string(version_) + " acknowledged");
}

Lab::Clients& Lab::ClientsOf(const std::string& zone) {
  const auto [found, added] = clients_.try_emplace(zone);
  auto& clients = found->second;
  if (!added) return clients;
  clients.ip = Address(84, static_cast<int>(clients_.size()));
  cowslip::LastReason<pa::AdapterError> reason;
  auto socket = pa::UdpSocket::Bind(
      {clients.ip, static_cast<std::uint16_t>(port_ + kPacketPort)}, reason);
  if (!socket) throw std::runtime_error(reason.Message());
  clients.socket = std::make_unique<pa::UdpSocket>(std::move(*socket));
  clients.readable = std::make_unique<pa::EventSource>(
      loop_.base(), clients.socket->fd(), EV_READ | EV_PERSIST,
      [this, &clients] { Receive(clients); });
  clients.readable->Enable();
  return clients;
}

Flow& Lab::Open(const std::string& zone, int route) {
  auto& clients = ClientsOf(zone);
  FlowKey key;
  key.caller = {clients.ip, clients.next_port++};
  key.service = RouteAddress(route);
  auto& flow = flows_[key];
  flow.zone = zone;
  flow.opened = pa::Now();
  ++flow.requests;
  FakeCaller::Output output;
  output.send = [this, &flow](const Segment& segment) { Send(flow, segment); };
  output.after = [this](milliseconds delay, std::function<void()> run) {
    timers_.After(delay, std::move(run));
  };
  output.now = [] { return pa::Now(); };
  flow.caller = std::make_unique<FakeCaller>(key, output);
  flow.caller->Open();
  return flow;
}

Machine* Lab::Route(const std::string& zone, const FlowKey& flow) {
  std::vector<Machine*> all;
  std::vector<Machine*> ready;
  for (const auto& machine : fronts_) {
    if (machine->zone != zone) continue;
    if (machine->wanted || machine->in_rotation) all.push_back(machine.get());
    if (machine->in_rotation) ready.push_back(machine.get());
  }
  const auto& used = 2 * ready.size() < all.size() ? all : ready;
  if (used.empty()) return nullptr;
  return used[cowslip::HashFlow(flow) % used.size()];
}

void Lab::Send(Flow& flow, const Segment& segment) {
  auto* front = Route(flow.zone, segment.flow);
  if (front == nullptr) return;
  if (on_routed) on_routed(flow, *front, segment);
  ClientsOf(flow.zone).socket->Send(
      {front->ip, static_cast<std::uint16_t>(port_ + kPacketPort)},
      pa::standins::WritePacket(segment, pa::PacketSender::kCaller));
}

void Lab::Receive(Clients& clients) {
  clients.socket->Drain([&](const Endpoint&, std::span<std::uint8_t> packet) {
    const auto header = pa::DecodePacketHeader(packet, pa::PacketSender::kUpstream);
    if (!header) return;
    const auto found = flows_.find(header->segment.flow);
    if (found == flows_.end()) return;
    auto& flow = found->second;
    if (header->segment.rst) ++flow.resets;
    if (on_packet) on_packet(flow, header->segment);
    flow.caller->OnPacket(header->segment);
  });
}

Server* Lab::HolderOf(const FlowKey& flow) {
  for (const auto& machine : sides_) {
    if (machine->server->Holds(flow)) return machine->server.get();
  }
  return nullptr;
}

bool Lab::InTouch(const Machine& machine) const {
  return machine.wanted && pa::Now() - machine.last_disturbed >= milliseconds(bounds_.stable_ms);
}

void Lab::Run(milliseconds time) {
  timers_.After(time, [this] { loop_.Stop(); });
  loop_.Run();
}

}  // namespace review
