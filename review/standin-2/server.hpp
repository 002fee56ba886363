#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "platform/event_loop.h"
#include "platform/standins/timer_queue.h"
#include "platform/udp_socket.h"
#include "segment/fake_upstream.h"

namespace review {

using cowslip::Endpoint;
using cowslip::FlowKey;
using std::chrono::milliseconds;

/// A server beside a sidecar: the project's stand-in of the transport, with the
/// heartbeats of PROTOCOL.md at an interval of its own.
class Server {
 public:
  struct Options {
    std::string service;
    std::string zone;
    Endpoint app;        ///< Where it receives packets.
    Endpoint outbound;   ///< Where it sends its packets.
    Endpoint control;    ///< Where it sends its heartbeats.
    milliseconds heartbeat{1200};
    milliseconds work{20};
    std::uint32_t slots = 7;
    std::uint32_t queue = 28;
    std::uint32_t first_seq = 1000;
  };
  struct Events {
    /// It begins to work on the request whose data end at `end`.
    std::function<void(Server&, const FlowKey&, std::uint32_t end)> on_run;
    /// It sends a reset of its own.
    std::function<void(Server&, const FlowKey&)> on_own_reset;
  };

  Server(event_base* base, cowslip::platform_adapter::standins::TimerQueue& timers,
         Options options, Events events);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts a process of the server, which sends its first heartbeat at once.
  void Start();
  /// Ends without a word: its flows are lost.
  void Crash();
  /// Reports `draining` from now on.
  void Drain();
  /// Sends its deregistration and ends.
  void Deregister();

  const Options& options() const { return options_; }
  bool alive() const { return upstream_->alive() && socket_.has_value(); }
  /// @return whether the handshake of the flow is complete.
  bool Holds(const FlowKey& flow) const { return alive() && upstream_->Holds(flow); }
  /// @return when its sidecar first acknowledged `draining`.
  std::optional<cowslip::TimePoint> drain_acknowledged() const { return drain_acknowledged_; }
  std::uint64_t heartbeats_acknowledged() const { return acknowledged_; }
  int packets_not_owned() const { return upstream_->not_owned(); }

 private:
  void OnPackets();
  void Post(const std::string& what);
  void Beat();

  event_base* base_;
  cowslip::platform_adapter::standins::TimerQueue* timers_;
  Options options_;
  Events events_;
  std::unique_ptr<cowslip::segment::test::FakeUpstream> upstream_;
  std::optional<cowslip::platform_adapter::UdpSocket> socket_;
  std::unique_ptr<cowslip::platform_adapter::EventSource> readable_;
  cowslip::platform_adapter::EventSource beat_timer_;
  std::string id_;
  std::uint64_t born_ = 0;
  std::uint64_t seq_ = 0;
  bool draining_ = false;
  std::uint64_t acknowledged_ = 0;
  std::optional<cowslip::TimePoint> drain_acknowledged_;
};

}  // namespace review
