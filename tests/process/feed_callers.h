#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tests/process/deployment.h"

namespace cowslip::testing {

/// A notification, parsed from the output of a caller.
struct Notification {
  std::chrono::milliseconds time{};  ///< On the steady clock.
  std::string upstream;
  std::uint64_t value = 0;
  std::string caller;
};

/// Callers that observe the feed of a service, each with its own name.
class FeedCallers {
 public:
  FeedCallers(Deployment& deployment, int vip, int count);

  /// Waits until every caller has received a notification after this call.
  /// @return the names of those that have not within the limit.
  std::vector<std::string> WaitForNewNotifications();
  /// @return a line for each violation: a feed that ended, went backwards,
  /// paused for more than kMaxGap or showed another caller's notification.
  std::vector<std::string> FindViolations();
  /// @return the number of feeds whose last notification is from this upstream.
  int CountServedBy(const std::string& upstream) const;

  /// Longest time between two notifications; allows for two retransmissions of
  /// RFC 7252.
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
