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

/// A planned change or a cold start at some moment of a run.
struct Change {
  enum class Kind : std::uint8_t { kJoin, kDrain, kRestart, kTicket };
  Kind kind{};
  Duration at{};
  std::size_t upstream = 0;  ///< Index of the one that drains or restarts.
};

struct EngineOptions {
  std::string name;
  ticket::Preference prefer = ticket::Preference::kBalance;
  std::uint32_t max_queue = 16;
  std::uint64_t seed = 1;
  Duration slow_start{};
  bool feeds = false;  ///< Each flow holds a feed, renewed with each request.
  std::vector<Change> changes;
  /// Speed of a restarted upstream for kColdTime, relative to its usual one.
  double cold_speed = 1;
};

inline constexpr std::chrono::seconds kColdTime{10};

/// Runs the real balancers and sidecars on a workload of POSTs.
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
  Duration Elapsed() const { return network_.now() - start_; }

  EngineOptions options_;
  const Deployment& deployment_;
  const Workload& workload_;
  testing::VirtualNetwork network_;
  TimePoint start_;
  std::vector<UpstreamModel> models_;
  std::map<std::uint32_t, Duration> opened_;  ///< When each flow was opened.
  std::set<std::uint32_t> opening_flows_;
  /// Where a feed is, and where it was before it was handed over: a draining
  /// upstream serves it until its own part has ended.
  struct FeedPlace {
    UpstreamId owner{};
    UpstreamId predecessor{};
  };
  std::map<std::uint32_t, FeedPlace> feeds_;
  std::set<std::uint32_t> broken_;
  std::uint16_t next_message_id_ = 1;
  std::uint64_t answered_ = 0;
  Result result_;
};

}  // namespace cowslip::experiments
