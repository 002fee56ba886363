#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cowslip/coap.h"
#include "experiments/result.h"
#include "experiments/upstream_model.h"
#include "support/virtual_network.h"

namespace cowslip::experiments {

/// A configuration or membership change during a run: an upstream joins, drains
/// or restarts, or a ticket is applied.
struct Change {
  enum class Kind : std::uint8_t { kJoin, kDrain, kRestart, kTicket };
  Kind kind{};
  Duration at{};             ///< Since the start of the run.
  std::size_t upstream = 0;  ///< Index of the upstream of kDrain or kRestart.
};

/// Parameters of an EngineRun.
struct EngineOptions {
  std::string name;
  ticket::Preference prefer = ticket::Preference::kBalance;
  std::uint32_t max_queue = 16;
  std::uint64_t seed = 1;
  Duration slow_start{};
  /// Each flow observes a feed and renews the observation with each request.
  bool feeds = false;
  std::vector<Change> changes;
  /// Speed of a restarted upstream for kColdTime, relative to its usual one.
  double cold_speed = 1;
};

/// Time for which a restarted upstream is slow.
inline constexpr std::chrono::seconds kColdTime{10};

/// Runs the engines of balancers and sidecars in a simulated network, on a
/// workload of POST requests.
class EngineRun {
 public:
  EngineRun(const EngineOptions& options, const Deployment& deployment,
            const Workload& workload);

  Result Run();

 private:
  void StartUpstream(std::size_t index, std::uint64_t incarnation);
  void Apply(const Change& change);
  void Restart(std::size_t index);
  void SendJob(std::size_t index);
  void SendPost(std::size_t index, const Bytes* echo);
  void RenewFeed(std::uint32_t flow);
  void Send(std::uint32_t flow, const coap::Message& message);
  void OnUpstream(UpstreamId id, flow::FlowSlot slot, ByteView payload);
  void OnFeed(UpstreamId id, flow::FlowSlot slot, const coap::Message& request);
  void OnCaller(ByteView payload);
  void OnFrame(const engine::SendFrame& frame, const Endpoint& from);
  void OnReply(const engine::SendFrame& frame);
  Duration Elapsed() const { return network_.now() - start_; }

  EngineOptions options_;
  const Deployment& deployment_;
  const Workload& workload_;
  testing::VirtualNetwork network_;
  TimePoint start_;
  std::vector<UpstreamModel> models_;
  /// Time of the first request of each flow, since the start of the run.
  std::map<std::uint32_t, Duration> flow_starts_;
  /// Flows without any response so far.
  std::set<std::uint32_t> unanswered_flows_;
  /// The upstream that serves a feed, and the previous one if the feed was
  /// handed over: a draining upstream serves it until its own part has ended.
  struct FeedOwners {
    UpstreamId current{};
    UpstreamId previous{};
  };
  std::map<std::uint32_t, FeedOwners> feeds_;
  /// Flows whose feed changed its upstream without a handover.
  std::set<std::uint32_t> broken_flows_;
  /// State of the upstreams when a request got its latest permit.
  std::map<std::uint32_t, WaitCause> wait_causes_;
  std::uint16_t next_message_id_ = 1;
  std::uint64_t answered_ = 0;
  Result result_;
};

}  // namespace cowslip::experiments
