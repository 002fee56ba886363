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

/// A server of connections in virtual time: it has slots and a queue, returns
/// packets of flows that it doesn't hold, and may crash and start anew.
class FakeUpstream {
 public:
  struct Options {
    std::uint32_t slots = 2;
    std::uint32_t queue = 8;
    std::chrono::milliseconds service_time{20};
  };
  struct Output {
    std::function<void(const Segment&)> send;
    /// @param token as it came with the packet.
    std::function<void(const Segment&, std::uint32_t token)> give_back;
    std::function<void(std::chrono::milliseconds, std::function<void()>)> after;
    /// Begins to run the request that ends at this sequence number; may be
    /// left out.
    std::function<void(const FlowKey&, std::uint32_t end)> runs = nullptr;
  };

  FakeUpstream(const Options& options, Output output)
      : options_(options), output_(std::move(output)) {}

  void OnPacket(const Segment& segment, std::uint32_t token);
  /// Loses all flows; answers nothing until Restart().
  void Crash();
  void Restart();

  bool alive() const { return alive_; }
  /// @return whether it has the end of the handshake.
  bool Holds(const FlowKey& flow) const {
    const auto found = flows_.find(flow);
    return found != flows_.end() && found->second.open;
  }
  int runs() const { return runs_; }
  int refused() const { return refused_; }
  /// @return packets of flows that were not its own.
  int foreign() const { return foreign_; }
  int start() const { return start_; }

 private:
  struct Flow {
    std::uint32_t seq = 0;
    std::uint32_t caller_next = 0;
    bool open = false;
  };

  void Accept(const Segment& segment);
  void Enqueue(const FlowKey& flow);
  void Run(const FlowKey& flow);
  void Answer(const FlowKey& flow);

  Options options_;
  Output output_;
  bool alive_ = true;
  int start_ = 1;
  std::uint32_t busy_ = 0;
  std::deque<FlowKey> waiting_;
  std::map<FlowKey, Flow> flows_;
  std::uint32_t next_seq_ = 1000;
  int runs_ = 0;
  int refused_ = 0;
  int foreign_ = 0;
};

}  // namespace cowslip::segment::test
