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
std::vector<std::string> FaultsOf(const std::string& name,
                                  const std::string& output) {
  std::vector<std::string> faults;
  std::optional<Notification> last;
  for (const auto& next : ParseNotifications(output)) {
    if (next.caller != name) {
      faults.push_back(name + " saw a notification of " + next.caller);
    }
    if (last && next.value < last->value) {
      faults.push_back(name + " went back from " + last->upstream + " " +
                       std::to_string(last->value) + " to " + next.upstream +
                       " " + std::to_string(next.value));
    }
    if (last && next.time - last->time > FeedCallers::kMaxGap) {
      faults.push_back(name + " paused for " +
                       std::to_string((next.time - last->time).count()) +
                       " ms");
    }
    last = next;
  }
  return faults;
}

}  // namespace

std::vector<Notification> ParseNotifications(const std::string& output) {
  std::vector<Notification> notifications;
  std::istringstream lines(output);
  for (std::string line; std::getline(lines, line);) {
    const auto time = FindField(line, "time_ms");
    if (time.empty()) continue;
    Notification next;
    next.time = std::chrono::milliseconds(std::stoll(time));
    std::istringstream payload(FindField(line, "payload"));
    payload >> next.upstream >> next.value >> next.caller;
    notifications.push_back(next);
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

std::vector<std::string> FeedCallers::WaitForFresh() {
  const auto start = Now();
  std::vector<std::string> waiting;
  Eventually([&] {
    waiting.clear();
    for (const auto& feed : feeds_) {
      const auto all = ParseNotifications(feed.caller.Output());
      const bool fresh = !all.empty() && all.back().time > start;
      if (!fresh) waiting.push_back(feed.name);
    }
    return waiting.empty();
  });
  return waiting;
}

std::vector<std::string> FeedCallers::FindViolations() {
  std::vector<std::string> faults;
  for (auto& feed : feeds_) {
    const auto output = feed.caller.Output();
    if (!feed.caller.IsRunning()) {
      faults.push_back(feed.name + " ended: " + output);
    }
    for (auto& fault : FaultsOf(feed.name, output)) {
      faults.push_back(std::move(fault));
    }
    if (output.find("stale=\"") != std::string::npos) {
      // A stale notification may be dropped, but has to be the caller's own.
      std::istringstream lines(output);
      for (std::string line; std::getline(lines, line);) {
        const auto stale = FindField(line, "stale");
        if (stale.empty() || stale.ends_with(" " + feed.name)) continue;
        faults.push_back(feed.name + " saw stale " + stale);
      }
    }
  }
  return faults;
}

int FeedCallers::ServedBy(const std::string& upstream) const {
  return static_cast<int>(std::ranges::count_if(feeds_, [&](const auto& feed) {
    const auto all = ParseNotifications(feed.caller.Output());
    return !all.empty() && all.back().upstream == upstream;
  }));
}

}  // namespace cowslip::testing
