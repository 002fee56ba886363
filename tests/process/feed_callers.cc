#include "tests/process/feed_callers.h"

#include <algorithm>
#include <optional>
#include <sstream>

namespace cowslip::testing {
namespace {

std::chrono::milliseconds Now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now().time_since_epoch());
}

/// @return a line for each violation of one feed.
std::vector<std::string> ViolationsOf(const std::string& name,
                                      const std::string& output) {
  std::vector<std::string> violations;
  std::optional<Notification> previous;
  for (const auto& notification : ParseNotifications(output)) {
    if (notification.caller != name) {
      violations.push_back(name + " saw a notification of " +
                           notification.caller);
    }
    if (previous && notification.value < previous->value) {
      violations.push_back(name + " decreased from " + previous->upstream +
                           " " + std::to_string(previous->value) + " to " +
                           notification.upstream + " " +
                           std::to_string(notification.value));
    }
    if (previous && notification.time - previous->time > FeedCallers::kMaxGap) {
      violations.push_back(
          name + " paused for " +
          std::to_string((notification.time - previous->time).count()) + " ms");
    }
    previous = notification;
  }
  return violations;
}

}  // namespace

std::vector<Notification> ParseNotifications(const std::string& output) {
  std::vector<Notification> notifications;
  std::istringstream lines(output);
  for (std::string line; std::getline(lines, line);) {
    const auto time = FindField(line, "time_ms");
    if (time.empty()) continue;
    Notification notification;
    notification.time = std::chrono::milliseconds(std::stoll(time));
    std::istringstream payload(FindField(line, "payload"));
    payload >> notification.upstream >> notification.value >>
        notification.caller;
    notifications.push_back(notification);
  }
  return notifications;
}

FeedCallers::FeedCallers(Deployment& deployment, int vip, int count) {
  for (int i = 0; i < count; ++i) {
    const auto name = "caller-" + std::to_string(vip) + "-" + std::to_string(i);
    feeds_.push_back(
        {name, deployment.StartCaller({"observe", deployment.Vip(vip),
                                       "/feed?" + name, "--seconds", "600"})});
  }
}

std::vector<std::string> FeedCallers::WaitForNewNotifications() {
  const auto start = Now();
  std::vector<std::string> missing;
  Eventually([&] {
    missing.clear();
    for (const auto& feed : feeds_) {
      const auto all = ParseNotifications(feed.caller.Output());
      const bool is_new = !all.empty() && all.back().time > start;
      if (!is_new) missing.push_back(feed.name);
    }
    return missing.empty();
  });
  return missing;
}

std::vector<std::string> FeedCallers::FindViolations() {
  std::vector<std::string> violations;
  for (auto& feed : feeds_) {
    const auto output = feed.caller.Output();
    if (!feed.caller.IsRunning()) {
      violations.push_back(feed.name + " ended: " + output);
    }
    for (auto& violation : ViolationsOf(feed.name, output)) {
      violations.push_back(std::move(violation));
    }
    if (output.find("stale=\"") != std::string::npos) {
      // A stale notification may be dropped, but must belong to this caller.
      std::istringstream lines(output);
      for (std::string line; std::getline(lines, line);) {
        const auto stale = FindField(line, "stale");
        if (stale.empty() || stale.ends_with(" " + feed.name)) continue;
        violations.push_back(feed.name + " saw stale " + stale);
      }
    }
  }
  return violations;
}

int FeedCallers::CountServedBy(const std::string& upstream) const {
  return static_cast<int>(std::ranges::count_if(feeds_, [&](const auto& feed) {
    const auto all = ParseNotifications(feed.caller.Output());
    return !all.empty() && all.back().upstream == upstream;
  }));
}

}  // namespace cowslip::testing
