#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>

#include "platform/process_clock.h"

namespace review {

using cowslip::TimePoint;

/// A machine of the system with one process of the deploy file. A process that
/// has ended is started again after a short delay, as the platform does.
class Machine {
 public:
  struct Options {
    std::string name;
    std::string role;      ///< "balancer" or "sidecar".
    std::string settings;  ///< Path of the settings file.
    std::string log;       ///< Path of the file for its output.
    std::string ready;     ///< Address of its readiness endpoint.
  };

  explicit Machine(Options options) : options_(std::move(options)) {}
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  const Options& options() const { return options_; }
  bool running() const { return pid_ > 0; }
  int starts() const { return starts_; }

  void Start();
  void Signal(int signal);
  /// Planned stop: SIGTERM, and SIGKILL after the grace time.
  void Stop(std::chrono::milliseconds grace);
  /// Sets the time from the end of a process to its next start.
  void SetRestartDelay(std::chrono::milliseconds delay) {
    restart_delay_ = delay;
  }
  /// Notices the end of the process, and starts it again when that is due.
  void Poll();

  bool in_rotation = false;
  int missed_probes = 0;

 private:
  Options options_;
  pid_t pid_ = 0;
  int starts_ = 0;
  std::chrono::milliseconds restart_delay_{500};
  std::optional<TimePoint> restart_at_;
  std::optional<TimePoint> kill_at_;
};

}  // namespace review
