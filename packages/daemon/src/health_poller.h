#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace cowslip::daemon {

/// Asks a health endpoint over HTTP now and then, on a thread of its own.
class HealthPoller {
 public:
  using Report = std::function<void(bool healthy)>;

  /// @param url empty: nothing is asked.
  /// @param report called on the poller's thread.
  HealthPoller(std::string url, Report report);
  ~HealthPoller();
  HealthPoller(const HealthPoller&) = delete;
  HealthPoller& operator=(const HealthPoller&) = delete;

 private:
  void Run();

  std::string url_;
  Report report_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace cowslip::daemon
