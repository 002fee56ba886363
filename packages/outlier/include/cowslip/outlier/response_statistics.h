#pragma once

#include <chrono>
#include <cstdint>

#include "cowslip/base.h"
#include "cowslip/cost.h"
#include "cowslip/outlier/aged_weight.h"
#include "cowslip/outlier/response_report.h"
#include "cowslip/outlier/typical_time.h"
#include "cowslip/outlier/usual_size.h"

namespace cowslip::outlier {

/// How the requests of one upstream end, by service address, learned beside the
/// upstream from the headers of its packets.
///
/// Load pattern: an upstream whose health check is good answers part of its
/// requests with errors, resets them, does not answer them, or has become
/// slower. Errors are quick, so by its waiting time it looks like the best one.
class ResponseStatistics {
 public:
  /// Requests that have to be known of an address before its share is reported.
  static constexpr std::uint64_t kMinRequests = 8;
  /// Answered requests that are assumed in addition. Without them, one failure
  /// among the last eight requests would exceed the least share of an outlier.
  static constexpr double kAssumedAnswered = 10;

  /// The first byte of a response arrived this long after its request had got a
  /// slot of the upstream.
  void OnFirstByte(const Endpoint& address, Duration time, TimePoint now);
  /// @return whether a response is so small that it may be an error.
  bool IsSuspicious(const Endpoint& address, std::uint64_t bytes) const;
  /// A response has ended.
  /// @param judge_size whether a suspicious size counts as a failure. The
  /// response to an upload is small whatever it says.
  void OnAnswered(const Endpoint& address, std::uint64_t bytes, bool judge_size,
                  TimePoint now);
  /// A request was reset, abandoned or not answered in time.
  void OnFailed(const Endpoint& address, TimePoint now);
  /// Starts empty, as the upstream has restarted.
  void Reset() { *this = ResponseStatistics(); }

  /// @param address that share and time are reported of.
  ResponseReport Report(const Endpoint& address, TimePoint now) const;
  /// @return failed requests since the upstream started.
  std::uint64_t failures() const { return failures_; }

 private:
  /// What was learned of one service address.
  struct Service {
    /// 1 for each failed request, 0 for others. Few old ones are kept, so that
    /// an upstream that has recovered is not judged by them.
    AgedWeight failed{4};
    TypicalTime time;
    std::uint64_t requests = 0;
    UsualSize size;
  };

  void Count(Service& service, bool failed, TimePoint now);

  cost::ServiceTable<Service> services_;
  std::uint64_t failures_ = 0;
  std::uint64_t good_run_ = 0;
};

}  // namespace cowslip::outlier
