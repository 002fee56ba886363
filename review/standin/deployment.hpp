#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/event_loop.h"
#include "platform/standins/store_standin.h"
#include "platform/standins/timer_queue.h"
#include "review/standin/client.hpp"
#include "review/standin/machine.hpp"
#include "review/standin/record.hpp"
#include "review/standin/server.hpp"

namespace review {

using cowslip::platform_adapter::EventLoop;
using cowslip::platform_adapter::standins::StoreFault;
using cowslip::platform_adapter::standins::StoreStandin;

/// Exit codes of a case.
enum class Outcome { kHeld = 0, kBroken = 1, kNotRun = 2 };

/// A small deployment on loopback addresses: real processes of the deploy file,
/// with stand-ins of the store, the routers, the clients and the servers in
/// this process, on one event loop and the real clock.
class Deployment {
 public:
  struct Options {
    int balancers = 2;
    /// Service of each server, each of which has a machine with a sidecar.
    std::vector<std::string> servers;
    unsigned capacity = 7;
    milliseconds heartbeat{1200};
    milliseconds work{20};
    int idle_timeout_ms = 15000;
  };
  struct Route {
    int port = 0;
    std::string service;
  };
  /// What was seen of one flow.
  struct FlowRecord {
    Server* owner = nullptr;  ///< Server at which it opened.
    int own_packets = 0;
    /// Packets at other servers since the last one at its own, and the time of
    /// the first of them.
    int foreign_packets = 0;
    double foreign_since_ms = 0;
    int resets_while_open = 0;  ///< Resets while its server held it.
  };

  /// @param folder of the case, for record.txt.
  static std::unique_ptr<Deployment> Create(const std::string& folder,
                                            Options options);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Writes a configuration as the operator does.
  void Configure(std::uint64_t version, const std::vector<Route>& routes);
  /// Starts all processes and servers.
  void StartAll();
  /// Runs `step` after a time since the start.
  void At(milliseconds time, std::function<void()> step);
  /// Runs until the time since the start has passed.
  void RunUntil(milliseconds time);

  /// Opens a flow of a new client to a route.
  ClientFlow& Open(int route_port);

  /// Each client with an open flow sends its next request, one every 10 ms.
  void AskAllAt(milliseconds time);

  /// Stops balancers or sidecars in turn with SIGTERM.
  void Roll(const std::vector<Machine*>& machines, milliseconds first,
            milliseconds gap);

  Record& record() { return *record_; }
  StoreStandin& store() { return *store_; }
  EventLoop& loop() { return loop_; }
  TimerQueue& timers() { return timers_; }
  std::vector<std::unique_ptr<Machine>>& balancers() { return balancers_; }
  std::vector<std::unique_ptr<Machine>>& sidecars() { return sidecars_; }
  std::vector<std::unique_ptr<Server>>& servers() { return servers_; }
  std::vector<std::unique_ptr<ClientFlow>>& clients() { return clients_; }
  std::map<FlowEnds, FlowRecord>& flows() { return flows_; }
  std::uint64_t Random() { return random_(); }

  /// A datagram to a client for which this returns true is lost.
  void SetLossToClients(std::function<bool(const Packet&)> lose) {
    lose_to_client_ = std::move(lose);
  }
  void SetGrace(milliseconds grace) { grace_ = grace; }
  /// @return runs of requests, by id.
  const std::map<std::string, int>& runs() const { return runs_; }
  /// @return the log of a machine's processes.
  std::string LogOf(const Machine& machine) const;
  /// Copies lines of the processes' logs that contain one of the words into the
  /// record.
  void CopyLogs(const std::vector<std::string>& words);

 private:
  Deployment(const std::string& folder, Options options);
  bool Open();
  Endpoint Address(int kind, int host, int port) const;
  std::unique_ptr<Machine> MakeMachine(const std::string& name,
                                       const std::string& role,
                                       const Endpoint& ip,
                                       const std::string& more);
  void EndBootstrap();
  void Tick();
  void Probe();
  void RoutePacket(const Packet& packet);
  void DeliverToClients();
  void OnPacketAtServer(Server& server, const FlowEnds& flow,
                        const Packet& packet, bool own);
  void OnResetFromSystem(const FlowEnds& flow);

  Options options_;
  std::unique_ptr<Record> record_;
  EventLoop loop_;
  TimerQueue timers_;
  std::string folder_;
  int network_ = 0;
  std::mt19937_64 random_;
  milliseconds grace_{6000};
  std::unique_ptr<StoreStandin> store_;
  std::unique_ptr<UdpSocket> client_socket_;
  std::unique_ptr<EventSource> client_event_;
  std::unique_ptr<EventSource> tick_;
  std::unique_ptr<EventSource> probe_;
  std::vector<std::unique_ptr<Machine>> balancers_;
  std::vector<std::unique_ptr<Machine>> sidecars_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<ClientFlow>> clients_;
  std::map<FlowEnds, ClientFlow*> client_by_flow_;
  std::map<FlowEnds, FlowRecord> flows_;
  std::map<std::string, int> runs_;
  std::function<bool(const Packet&)> lose_to_client_;
  std::uint16_t next_port_ = 20000;
};

/// @return whether the case is to run with its disruption.
bool WithTrouble();

/// Runs a case.
int RunCase(const std::string& folder, const Deployment::Options& options,
            const std::function<Outcome(Deployment&)>& body);

}  // namespace review
