#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "cowslip/base.h"
#include "cowslip/outlier.h"
#include "cowslip/scheduling.h"
#include "cowslip/segment/flow_state_table.h"
#include "cowslip/segment/load_estimator.h"
#include "cowslip/segment/segment.h"

namespace cowslip::segment {

/// Follows each request that an upstream was given until its response has
/// ended, by packet headers alone, and counts how it ended.
///
/// Load pattern: an upstream that resets, drops, delays or answers with errors
/// a part of its requests while its health is good.
class ResponseMonitor {
 public:
  /// Time until a request of unknown time limit counts as not answered.
  static constexpr std::chrono::seconds kDefaultTimeLimit{5};
  /// Time without data after which a response counts as complete. Upstreams are
  /// on the same machine.
  static constexpr std::chrono::milliseconds kEndOfResponse{200};
  /// Time after its first byte at which a response counts as complete although
  /// data still arrive.
  static constexpr std::chrono::seconds kLongResponse{2};
  /// Length of a request from which it counts as an upload, whose response is
  /// small whatever it says.
  static constexpr std::uint32_t kUploadBytes = 4096;
  /// Requests followed at one time; further ones are not counted.
  static constexpr std::size_t kCapacity = 1024;

  /// The upstream was given a request.
  void OnStarted(const FlowKey& flow, const scheduling::RequestTerms& terms,
                 TimePoint now);
  /// The upstream has sent a packet of a flow. Call before `load` is told.
  void OnUpstreamPacket(const FlowEntry& entry, const Segment& segment,
                        const LoadEstimator& load, TimePoint now);
  /// A flow has ended or was lost.
  void OnFlowEnded(const FlowKey& flow, TimePoint now);
  /// The upstream was replaced.
  void Reset();
  /// Counts requests and responses whose time has passed.
  void OnTick(TimePoint now);
  /// The process was suspended: how long the requests in progress have waited
  /// says nothing about the upstream.
  void OnResume();

  outlier::ResponseReport Report(const Endpoint& service, TimePoint now) const {
    return statistics_.Report(service, now);
  }
  const outlier::ResponseStatistics& statistics() const { return statistics_; }

 private:
  /// A request that the upstream was given.
  struct Exchange {
    /// When the request counts as not answered, or its response as complete.
    TimePoint due{};
    bool answered = false;
    bool is_upload = false;
    std::uint32_t first_seq = 0;  ///< Of the response.
    std::uint32_t bytes = 0;      ///< Of the response so far.
    TimePoint first_byte{};
  };

  void End(const FlowKey& flow, const Exchange& exchange, TimePoint now);

  std::unordered_map<FlowKey, Exchange, FlowKeyHash> exchanges_;
  outlier::ResponseStatistics statistics_;
};

}  // namespace cowslip::segment
