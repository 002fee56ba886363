#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tests/process/deployment.h"

namespace cowslip::testing {

/// One notification as a caller printed it.
struct Notification {
  std::chrono::milliseconds time{};  ///< On the steady clock.
  std::string upstream;
  std::uint64_t value = 0;
  std::string caller;
};

/// Callers that observe a service's feed, each under a name of its own.
class FeedCallers {
 public:
  FeedCallers(Deployment& deployment, int vip, int count);

  /// Waits until every caller has a notification that is younger than this
  /// call.
  /// @return the names of those that have not.
  std::vector<std::string> WaitForFresh();
  /// @return a line for each violation: a feed that ended, went backwards,
  /// paused for more than kMaxGap or showed another caller's notification.
  std::vector<std::string> FindViolations();
  /// @return how many feeds were last served by an upstream.
  int ServedBy(const std::string& upstream) const;

  /// Limit of the time between two notifications, two retransmissions of
  /// RFC 7252 included.
  static constexpr std::chrono::seconds kMaxGap{15};

 private:
  struct Feed {
    std::string name;
    Caller caller;
  };

  std::vector<Feed> feeds_;
};

/// @return the notifications in a caller's output, in its order.
std::vector<Notification> ParseNotifications(const std::string& output);

}  // namespace cowslip::testing
