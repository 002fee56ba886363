#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/process/caller.h"
#include "tests/process/child_process.h"
#include "tests/process/deployment_options.h"
#include "tests/process/files.h"
#include "tests/process/site.h"

namespace cowslip::testing {

/// A request that an upstream has run, as it wrote it to its journal.
struct JournalEntry {
  std::string upstream;
  std::string claim;
};

/// Time limit of conditions that must hold eventually.
inline constexpr std::chrono::seconds kEventually{20};

/// Polls a condition until it holds.
/// @return whether it held within the limit.
bool Eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds limit = kEventually);

/// A complete system of real processes: store, fabric, balancers, upstreams and
/// sidecars, on the addresses of its own site. Their names are store, fabric,
/// balancer-N, and upstream-SN and sidecar-SN for instance N of service S. All
/// processes are killed on destruction.
class Deployment {
 public:
  explicit Deployment(const DeploymentOptions& options);

  /// Starts everything, submits ticket 1 and waits until each service answers
  /// and every balancer sends new flows to every upstream.
  /// @return whether they do.
  bool Start() { return StartNetwork() && StartDaemons(); }
  /// The first part of Start(): the store and the fabric.
  bool StartNetwork();
  /// The second part of Start(): all the rest.
  bool StartDaemons();

  // Signals to processes, by name.
  void Kill(const std::string& name);
  void Stop(const std::string& name);
  void Continue(const std::string& name);
  void Terminate(const std::string& name);
  /// Starts a process that has ended again, with the same command.
  void Restart(const std::string& name);
  ChildProcess& Process(const std::string& name) {
    return *processes_.at(name);
  }
  std::string ReadLog(const std::string& name) const {
    return ReadFile(directory_.File(name + ".log"));
  }
  void StartBalancer(int id);
  /// Starts an upstream and its sidecar.
  void StartUpstream(const ServiceOptions& service, int number);
  /// Starts a sidecar beside the upstream with this id.
  /// @param place number in its addresses; differs from the id for a
  /// second process with the same id.
  void StartSidecar(const std::string& name, const ServiceOptions& service,
                    int id, int address_number);

  // Control interfaces.
  /// @param query such as "loss=0.05&reorder_ms=200".
  bool SetFabricFaults(const std::string& query);
  /// Adds or removes a balancer of those that the fabric sends to.
  bool SetFabricTarget(int balancer, bool on);
  /// @param fault such as "down?on=1".
  bool SetStoreFault(const std::string& fault);
  /// Blocks or restores a daemon's access to the store.
  bool SetStoreAccessDenied(const std::string& name, bool on);

  // Tickets.
  /// @return the exit code of cowslipctl.
  /// @param removed ids of services.
  int SubmitTicket(int number, const std::vector<ServiceOptions>& services,
                   const std::vector<int>& removed = {});
  int RunCtl(std::vector<std::string> arguments);
  /// @return the ticket in force at a balancer or sidecar, -1 if it does not
  /// answer.
  int TicketAt(const std::string& name) const;
  bool WaitForTicket(int number, const std::vector<std::string>& names) const;
  /// @return the number of upstreams that a balancer sends new flows to.
  int ActiveUpstreamsAt(const std::string& balancer) const;

  // Callers.
  std::string Vip(int number) const { return site_.Vip(number); }
  /// @param arguments of standin-caller.
  Caller StartCaller(const std::vector<std::string>& arguments);
  CallerResult RunCaller(const std::vector<std::string>& arguments);
  /// @return all requests that upstreams have run.
  std::vector<JournalEntry> ReadJournal() const;
  const Site& site() const { return site_; }
  std::string PathOf(const std::string& name) const {
    return directory_.File(name);
  }

 private:
  void Run(const std::string& name, const std::vector<std::string>& command);
  void WriteDaemonSettings(const std::string& name, const std::string& http,
                           const std::string& control,
                           const std::string& section);
  /// Waits until every balancer sends new flows to every upstream: a sidecar
  /// has the ticket in force before it is a member.
  bool WaitForActiveUpstreams() const;
  std::string HttpOf(const std::string& name) const;
  std::vector<std::string> FabricCommand() const;

  DeploymentOptions options_;
  Site site_;
  TemporaryDirectory directory_;
  std::map<std::string, std::vector<std::string>> commands_;
  std::vector<std::string> upstreams_;
  int callers_ = 0;
  /// Declared last, so that the processes are killed before the rest is
  /// destroyed.
  std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
};

}  // namespace cowslip::testing
