#include "tests/process/deployment.h"

#include <signal.h>

#include <thread>

#include "tests/process/http.h"
#include "tests/process/settings_text.h"

namespace cowslip::testing {
namespace {

constexpr std::chrono::milliseconds kPollInterval{20};
constexpr std::chrono::minutes kCommandLimit{2};
constexpr int kMaxVips = 4;

std::string Program(const std::string& name) {
  return std::string(COWSLIP_BIN_DIR) + "/" + name;
}

}  // namespace

bool Eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

Deployment::Deployment(const DeploymentOptions& options)
    : options_(options), site_(Site::Claim()) {
  WriteFile(directory_.File("ctl.yaml"), CtlSettingsText(site_));
}

bool Deployment::StartNetwork() {
  Run("store", {Program("standin-store"), "--listen", site_.Store()});
  Run("fabric", FabricCommand());
  return Eventually([this] {
    return HttpGet(site_.Store(), "/stats").has_value() &&
           HttpGet(site_.FabricControl(), "/stats").has_value();
  });
}

bool Deployment::StartDaemons() {
  std::vector<std::string> daemons;
  for (int id = 1; id <= options_.balancers; ++id) {
    StartBalancer(id);
    daemons.push_back("balancer-" + std::to_string(id));
  }
  for (const auto& service : options_.services) {
    for (int number = 1; number <= options_.upstreams_per_service; ++number) {
      StartUpstream(service, number);
      daemons.push_back("sidecar-" + std::to_string(10 * service.id + number));
    }
  }
  if (SubmitTicket(1, options_.services) != 0) return false;
  if (!WaitForTicket(1, daemons)) return false;
  if (!WaitForActiveUpstreams()) return false;
  return Eventually([this] {
    for (const auto& service : options_.services) {
      const bool is_coap = service.protocol == "coap";
      const auto result =
          is_coap ? RunCaller({"get", Vip(service.vip), "/info"})
                  : RunCaller({"datagram", Vip(service.vip), "hello", "--count",
                               "1", "--timeout-s", "1"});
      if (result.exit_code != 0) return false;
    }
    return true;
  });
}

std::vector<std::string> Deployment::FabricCommand() const {
  std::vector<std::string> command{Program("standin-fabric"), "--control",
                                   site_.FabricControl(), "--seed",
                                   std::to_string(options_.seed)};
  for (int vip = 1; vip <= kMaxVips; ++vip) {
    command.insert(command.end(), {"--vip", site_.Vip(vip)});
  }
  for (int id = 1; id <= options_.balancers; ++id) {
    command.insert(command.end(), {"--balancer", Site::EntryPrefix(id)});
  }
  return command;
}

void Deployment::Run(const std::string& name,
                     const std::vector<std::string>& command) {
  commands_[name] = command;
  processes_[name] =
      ChildProcess::Start(command, directory_.File(name + ".log"));
}

void Deployment::Kill(const std::string& name) {
  Process(name).Signal(SIGKILL);
  Process(name).WaitForExit(kEventually);
}
void Deployment::Stop(const std::string& name) {
  Process(name).Signal(SIGSTOP);
}
void Deployment::Continue(const std::string& name) {
  Process(name).Signal(SIGCONT);
}
void Deployment::Terminate(const std::string& name) {
  Process(name).Signal(SIGTERM);
}
void Deployment::Restart(const std::string& name) {
  Run(name, std::vector<std::string>(commands_.at(name)));
}

void Deployment::WriteDaemonSettings(const std::string& name,
                                     const std::string& http,
                                     const std::string& control,
                                     const std::string& section) {
  std::string peers = "peers: [";
  for (int id = 1; id <= options_.peers; ++id) {
    peers += "\"" + site_.BalancerControl(id) + "\", ";
  }
  WriteFile(
      directory_.File(name + ".yaml"),
      DaemonSettingsText(site_, name, http, control, options_.drain_timeout) +
          peers + "]\n" + section);
}

void Deployment::StartBalancer(int id) {
  const auto number = std::to_string(id);
  const auto name = "balancer-" + number;
  WriteDaemonSettings(name, site_.BalancerHttp(id), site_.BalancerControl(id),
                      "balancer: {id: " + number +
                          ", frames: " + site_.BalancerFrames(id) +
                          ", entry_prefix: " + Site::EntryPrefix(id) + "}\n");
  Run(name, {Program("cowslipd"), "balancer", "--settings",
             directory_.File(name + ".yaml")});
}

void Deployment::StartUpstream(const ServiceOptions& service, int number) {
  const int id = 10 * service.id + number;
  const auto text = std::to_string(id);
  const auto upstream = "upstream-" + text;
  const auto slots = std::to_string(options_.slots);
  std::vector<std::string> command{Program("standin-upstream"),
                                   "--listen",
                                   site_.Upstream(id),
                                   "--protocol",
                                   service.protocol,
                                   "--name",
                                   upstream,
                                   "--service",
                                   "service-" + std::to_string(service.id),
                                   "--slots",
                                   slots,
                                   "--journal",
                                   directory_.File(upstream + ".journal")};
  command.insert(command.end(), options_.upstream_arguments.begin(),
                 options_.upstream_arguments.end());
  Run(upstream, command);
  upstreams_.push_back(upstream);
  StartSidecar("sidecar-" + text, service, id, id);
}

void Deployment::StartSidecar(const std::string& name,
                              const ServiceOptions& service, int id,
                              int address_number) {
  WriteDaemonSettings(name, site_.SidecarHttp(address_number),
                      site_.SidecarControl(address_number),
                      "sidecar: {id: " + std::to_string(id) +
                          ", service: " + std::to_string(service.id) +
                          ", frames: " + site_.SidecarFrames(address_number) +
                          ", upstream: " + site_.Upstream(id) +
                          ", slots: " + std::to_string(options_.slots) + "}\n");
  Run(name, {Program("cowslipd"), "sidecar", "--settings",
             directory_.File(name + ".yaml")});
}

bool Deployment::SetFabricFaults(const std::string& query) {
  return HttpPut(site_.FabricControl(), "/faults?" + query);
}

bool Deployment::SetFabricTarget(int balancer, bool on) {
  return HttpPut(site_.FabricControl(),
                 "/balancer?prefix=" + Site::EntryPrefix(balancer) +
                     "&on=" + (on ? "1" : "0"));
}

bool Deployment::SetStoreFault(const std::string& fault) {
  return HttpPut(site_.Store(), "/fault/" + fault);
}

bool Deployment::SetStoreAccessDenied(const std::string& name, bool on) {
  return SetStoreFault("deny?source=" + name + "&on=" + (on ? "1" : "0"));
}

int Deployment::SubmitTicket(int number,
                             const std::vector<ServiceOptions>& services,
                             const std::vector<int>& removed) {
  const auto file =
      directory_.File("ticket-" + std::to_string(number) + ".yaml");
  WriteFile(file, TicketText(site_, number, services, removed));
  return RunCtl({"ticket", "submit", file});
}

int Deployment::RunCtl(std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), Program("cowslipctl"));
  arguments.insert(arguments.end(),
                   {"--settings", directory_.File("ctl.yaml")});
  const auto process =
      ChildProcess::Start(arguments, directory_.File("ctl.log"));
  return process->WaitForExit(kCommandLimit).value_or(-1);
}

std::string Deployment::HttpOf(const std::string& name) const {
  const auto dash = name.find('-');
  const int id = std::stoi(name.substr(dash + 1));
  return name.starts_with("balancer") ? site_.BalancerHttp(id)
                                      : site_.SidecarHttp(id);
}

int Deployment::TicketAt(const std::string& name) const {
  constexpr std::string_view kField = "\"ticket\":";
  const auto body = HttpGet(HttpOf(name), "/ticket").value_or("");
  const auto found = body.find(kField);
  if (found == std::string::npos) return -1;
  return std::stoi(body.substr(found + kField.size()));
}

int Deployment::ActiveUpstreamsAt(const std::string& balancer) const {
  const auto page = HttpGet(HttpOf(balancer), "/metrics").value_or("");
  return static_cast<int>(FindMetric(page, "cowslip_control_active_upstreams"));
}

bool Deployment::WaitForActiveUpstreams() const {
  const int expected = static_cast<int>(options_.services.size()) *
                       options_.upstreams_per_service;
  return Eventually([&] {
    for (int id = 1; id <= options_.balancers; ++id) {
      const auto balancer = "balancer-" + std::to_string(id);
      if (ActiveUpstreamsAt(balancer) != expected) return false;
    }
    return true;
  });
}

bool Deployment::WaitForTicket(int number,
                               const std::vector<std::string>& names) const {
  return Eventually([&] {
    for (const auto& name : names) {
      if (TicketAt(name) != number) return false;
    }
    return true;
  });
}

Caller Deployment::StartCaller(const std::vector<std::string>& arguments) {
  auto command = arguments;
  command.insert(command.begin(), Program("standin-caller"));
  const auto output =
      directory_.File("caller-" + std::to_string(++callers_) + ".log");
  return {ChildProcess::Start(command, output), output};
}

CallerResult Deployment::RunCaller(const std::vector<std::string>& arguments) {
  return StartCaller(arguments).Finish(kCommandLimit);
}

std::vector<JournalEntry> Deployment::ReadJournal() const {
  std::vector<JournalEntry> entries;
  for (const auto& upstream : upstreams_) {
    for (const auto& line : ReadLines(directory_.File(upstream + ".journal"))) {
      entries.push_back({upstream, line.substr(0, line.rfind(' '))});
    }
  }
  return entries;
}

}  // namespace cowslip::testing
