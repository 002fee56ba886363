#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "cowslip/segment.h"

namespace cowslip::segment::test {

/// A server in virtual time. It has slots and a queue, returns packets of flows
/// that it doesn't own, and can crash and restart.
class FakeUpstream {
 public:
  /// Capacity of the server.
  struct Options {
    std::uint32_t slots = 2;
    std::uint32_t queue = 8;
    std::chrono::milliseconds service_time{20};
    /// Every so many requests end without a response; 0 for none.
    int unanswered_every = 0;
    /// Sequence number of its first SYN-ACK. Each server has numbers of its
    /// own, by which a caller chooses one of two that answered copies of its
    /// SYN.
    std::uint32_t first_seq = 1000;
  };
  /// Requests that it fails although it reports no fault.
  struct Failures {
    int percent = 0;
    bool resets = false;  ///< Otherwise it sends a small response.
  };
  /// Callbacks into the simulation: network and timers.
  struct Output {
    std::function<void(const Segment&)> send;
    /// Returns a packet to the sidecar.
    /// @param token as received with the packet.
    std::function<void(const Segment&, std::uint32_t token)> return_packet;
    std::function<void(std::chrono::milliseconds, std::function<void()>)> after;
    /// Called when it starts to serve the request that ends at this sequence
    /// number; may be empty.
    std::function<void(const FlowKey&, std::uint32_t end)> runs = nullptr;
    /// Called when a request is received; may be empty.
    std::function<void()> receives = nullptr;
    /// Service time of the next request, in place of Options::service_time; may
    /// be empty.
    std::function<std::chrono::milliseconds()> draw_service_time = nullptr;
  };

  FakeUpstream(const Options& options, Output output)
      : options_(options),
        output_(std::move(output)),
        next_seq_(options.first_seq) {}

  void OnPacket(const Segment& segment, std::uint32_t token);
  /// Loses all flows and doesn't respond until Restart().
  void Crash();
  void Restart();

  void SetFailures(const Failures& failures) { failures_ = failures; }

  bool alive() const { return alive_; }
  /// @return whether the handshake of the flow is complete.
  bool Holds(const FlowKey& flow) const {
    const auto found = flows_.find(flow);
    return found != flows_.end() && found->second.open;
  }
  /// @return slots that serve a request.
  std::uint32_t busy() const { return busy_; }
  int runs() const { return started_requests_; }
  int refused() const { return refused_; }
  /// @return packets of flows that it did not own.
  int not_owned() const { return not_owned_; }
  /// @return number of the current process, 1 for the first one.
  int start() const { return start_; }

 private:
  struct Flow {
    std::uint32_t seq = 0;
    std::uint32_t caller_next = 0;
    bool open = false;
  };

  void Accept(const Segment& segment);
  void Enqueue(const FlowKey& flow);
  void StartRequest(const FlowKey& flow);
  void SendResponse(const FlowKey& flow);
  void SendReset(const FlowKey& flow);

  Options options_;
  Failures failures_;
  int failed_percent_ = 0;  ///< Sum of Failures::percent, modulo 100.
  Output output_;
  bool alive_ = true;
  int start_ = 1;
  std::uint32_t busy_ = 0;
  std::deque<FlowKey> queue_;
  std::map<FlowKey, Flow> flows_;
  std::uint32_t next_seq_;
  int started_requests_ = 0;
  int ended_requests_ = 0;
  int refused_ = 0;
  int not_owned_ = 0;
};

}  // namespace cowslip::segment::test
