#pragma once

#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "platform/event_loop.h"
#include "platform/http_client.h"
#include "platform/process_clock.h"
#include "platform/standins/store_standin.h"
#include "platform/standins/tcp_proxy.h"
#include "platform/standins/timer_queue.h"
#include "platform/udp_socket.h"
#include "process.hpp"
#include "segment/fake_caller.h"
#include "server.hpp"

namespace review {

namespace pa = cowslip::platform_adapter;
using cowslip::TimePoint;
using cowslip::segment::Segment;
using cowslip::segment::test::CallState;
using cowslip::segment::test::FakeCaller;

struct Bounds {
  int stable_ms = 4000;
  int drain_ms = 3000;
  int grace_s = 6;
  int config_apply_ms = 3000;
  int skew_max_ms = 12000;
  int flow_skew_ms = 2000;
  int heartbeat_ms = 1200;
};

/// A machine of the system with its one process. The platform starts the
/// process again a short time after it has ended.
struct Machine {
  std::string name;
  std::string role;
  std::string zone;
  std::uint32_t ip = 0;
  std::string settings;
  std::string log;
  Process process;
  bool wanted = false;  ///< The platform keeps the process running.
  bool behind_proxy = false;
  std::optional<TimePoint> ended;
  TimePoint last_disturbed{};  ///< Last start, signal or end.
  bool in_rotation = false;
  int missed_probes = 0;
  std::unique_ptr<Server> server;  ///< On `side` machines.
};

/// A flow of a client, and what the client and the servers have seen of it.
struct Flow {
  std::unique_ptr<FakeCaller> caller;
  std::string zone;
  TimePoint opened{};
  int resets = 0;         ///< That the client got.
  int server_resets = 0;  ///< That its servers sent.
  int runs = 0;
  int requests = 0;
  int answered = 0;
};

/// A deployment on loopback addresses: the system's programs as processes, the
/// store, the routers, the clients and the servers in this process.
class Lab {
 public:
  Lab(std::string repository, std::string record_file, Bounds bounds);
  ~Lab();

  /// @param behind_proxy its calls to the store go through front_proxy().
  Machine& AddFront(const std::string& zone, const std::vector<std::uint32_t>& seeds,
                    bool behind_proxy = false);
  Machine& AddSide(const std::string& zone, const std::string& service,
                   const std::vector<std::uint32_t>& seeds, milliseconds work = milliseconds(5),
                   std::uint32_t slots = 40);
  /// Starts the process of a machine and, on `side` machines, its server.
  void Start(Machine& machine);
  void Signal(Machine& machine, int signal);
  /// Writes the settings of a `front` machine with other seeds and sends SIGHUP.
  void ChangeSeeds(Machine& machine, const std::vector<std::uint32_t>& seeds);
  /// The process is stopped for good: SIGTERM, then SIGKILL after `graceS`.
  void Remove(Machine& machine);
  /// As the platform's `roll_term`: SIGTERM, SIGKILL after `graceS`; it starts
  /// again a short time after its end.
  void Roll(Machine& machine);

  std::uint32_t Address(int network, int host) const;
  std::uint32_t NextFrontAddress() const { return Address(81, next_front_); }
  /// Writes a configuration with the addresses of routes and their services.
  void Configure(const std::map<int, std::string>& routes);
  Endpoint RouteAddress(int route) const;
  /// Opens a flow of a new client port; the first request follows.
  Flow& Open(const std::string& zone, int route);

  /// Handles events for a time.
  void Run(milliseconds time);
  void After(milliseconds delay, std::function<void()> run) { timers_.After(delay, std::move(run)); }
  void Note(const std::string& line);
  /// Writes what was sent, answered and run on each flow to the record.
  void NoteFlows();
  /// @return the time since the start of the case.
  double Seconds() const { return SecondsOf(pa::Now()); }
  double SecondsOf(TimePoint time) const {
    return std::chrono::duration<double>(time - started_).count();
  }
  Server* HolderOf(const FlowKey& flow);
  /// @return whether process and machine were left alone for `stableMs`.
  bool InTouch(const Machine& machine) const;

  pa::standins::StoreStandin& store() { return *store_; }
  /// The path to the store of the machines that are behind it.
  pa::standins::TcpProxy& front_proxy() { return *front_proxy_; }
  std::deque<std::unique_ptr<Machine>>& fronts() { return fronts_; }
  std::deque<std::unique_ptr<Machine>>& sides() { return sides_; }
  std::map<FlowKey, Flow>& flows() { return flows_; }
  /// The front that the routers choose for a flow now; nullptr if none.
  Machine* Route(const std::string& zone, const FlowKey& flow);
  const std::string& LogOf(const Machine& machine) const { return machine.log; }

  /// Called for each packet of the system to a client.
  std::function<void(Flow&, const Segment&)> on_packet;
  /// Called for each packet that the routers give to a front.
  std::function<void(Flow&, Machine&, const Segment&)> on_routed;
  std::function<void(Server&, const FlowKey&, std::uint32_t end)> on_run;

 private:
  struct Clients {
    std::uint32_t ip = 0;
    std::unique_ptr<pa::UdpSocket> socket;
    std::unique_ptr<pa::EventSource> readable;
    std::uint16_t next_port = 20000;
  };
  Clients& ClientsOf(const std::string& zone);
  void Launch(Machine& machine);
  void Tick();
  void Probe();
  void Send(Flow& flow, const Segment& segment);
  void Receive(Clients& clients);
  std::string Settings(const Machine& machine, const std::vector<std::uint32_t>& seeds,
                       const std::string& extra) const;

  std::string repository_;
  std::string folder_;
  std::ofstream record_;
  Bounds bounds_;
  pa::EventLoop loop_;
  pa::standins::TimerQueue timers_;
  TimePoint started_;
  int number_;
  std::uint16_t port_;
  std::unique_ptr<pa::standins::StoreStandin> store_;
  std::unique_ptr<pa::standins::TcpProxy> front_proxy_;
  std::deque<std::unique_ptr<Machine>> fronts_;
  std::deque<std::unique_ptr<Machine>> sides_;
  std::map<std::string, Clients> clients_;
  std::map<FlowKey, Flow> flows_;
  std::unique_ptr<pa::EventSource> tick_;
  std::unique_ptr<pa::EventSource> probe_;
  int next_front_ = 10;
  int next_side_ = 10;
  std::uint64_t version_ = 0;
};

/// @return false if the variable TROUBLE is 0.
bool WithTrouble();

}  // namespace review
