#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace cowslip::daemon {

/// Polls the HTTP health endpoint of an upstream periodically on its own
/// thread.
class HealthPoller {
 public:
  using Report = std::function<void(bool healthy)>;

  /// @param url of the endpoint; if empty, nothing is polled.
  /// @param report receives each result, on the poller's thread.
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
