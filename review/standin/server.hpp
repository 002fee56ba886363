#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "platform/event_loop.h"
#include "platform/standins/timer_queue.h"
#include "platform/udp_socket.h"
#include "review/standin/packet.hpp"
#include "review/standin/record.hpp"

namespace review {

using cowslip::platform_adapter::EventSource;
using cowslip::platform_adapter::UdpSocket;
using cowslip::platform_adapter::standins::TimerQueue;
using std::chrono::milliseconds;

/// The two ends of a flow: the client's and the route's address.
using FlowEnds = std::pair<Endpoint, Endpoint>;

std::string Describe(const FlowEnds& flow);

/// A server beside a daemon, as the users' pages describe it: it answers SYNs,
/// opens the flow whose handshake reaches it, serves requests, returns packets
/// of flows that it doesn't hold, retransmits, and sends heartbeats.
class Server {
 public:
  struct Options {
    std::string name;
    std::string service;
    std::string zone;
    Endpoint app;       ///< Where it receives packets.
    Endpoint outbound;  ///< Where it sends all of its packets.
    Endpoint control;   ///< Where it sends its heartbeats.
    unsigned capacity = 7;
    milliseconds heartbeat{1200};
    milliseconds work{20};
  };
  struct Events {
    /// A packet of a client arrived, `own` if the flow is this server's.
    std::function<void(Server&, const FlowEnds&, const Packet&, bool own)>
        on_packet;
    std::function<void(Server&, const FlowEnds&)> on_open;
    std::function<void(Server&, const FlowEnds&, const std::string& id)> on_run;
  };

  Server(event_base* base, TimerQueue& timers, Record& record, Options options,
         Events events, UdpSocket socket, std::uint64_t seed);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts a new incarnation with a new id.
  void Start();
  /// Ends without a word. All flows are lost.
  void Crash();

  const Options& options() const { return options_; }
  bool alive() const { return alive_; }
  const std::string& id() const { return id_; }
  /// @return whether the flow is open at this server.
  bool Holds(const FlowEnds& flow) const;
  /// @return whether the flow is open here or waits for its handshake.
  bool Knows(const FlowEnds& flow) const { return flows_.contains(flow); }
  /// Body of a heartbeat of the present incarnation.
  std::string HeartbeatBody(std::uint64_t sequence) const;
  std::string HeartbeatPath() const;

 private:
  struct Flow {
    std::uint32_t first_seq = 0;
    std::uint32_t next_seq = 0;
    std::uint32_t client_next = 0;
    bool open = false;
    bool answering = false;
    Packet unacknowledged;  ///< Last packet that the client has to acknowledge.
    bool waits_for_ack = false;
    int transmissions = 0;
    std::uint64_t timer = 0;
  };

  void OnDatagrams();
  void OnSyn(const FlowEnds& ends, const Packet& packet);
  void OnFlowPacket(const FlowEnds& ends, Flow& flow, const Packet& packet);
  void Run(const FlowEnds& ends, const std::string& request);
  void SendReliably(const FlowEnds& ends, Flow& flow, Packet packet);
  void Retransmit(const FlowEnds& ends, std::uint64_t timer,
                  milliseconds delay);
  void Send(const Packet& packet);
  void SendHeartbeat();

  event_base* base_;
  TimerQueue* timers_;
  Record* record_;
  Options options_;
  Events events_;
  UdpSocket socket_;
  std::mt19937_64 random_;
  bool alive_ = false;
  int starts_ = 0;
  std::string id_;
  std::uint64_t born_ms_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t next_timer_ = 0;
  std::map<FlowEnds, Flow> flows_;
  EventSource socket_event_;
  EventSource heartbeat_timer_;
};

}  // namespace review
