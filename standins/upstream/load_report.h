#pragma once

#include <cstddef>
#include <mutex>
#include <optional>
#include <string>

namespace cowslip::standin {

/// Number of runs of an upstream.
struct Load {
  std::size_t in_progress = 0;
  std::size_t queued = 0;
};

/// What an upstream tells about itself, truthfully or not. Thread-safe.
class LoadReport {
 public:
  void Set(const Load& load);
  /// @param mode "truth", "idle" (no load), "dead" (unhealthy) or "stale" (the
  /// load of this moment).
  /// @return false if the mode is unknown.
  bool SetMode(const std::string& mode);

  bool ReportedHealth();
  Load ReportedLoad();

 private:
  enum class Mode { kTruth, kIdle, kDead, kStale };

  static std::optional<Mode> ParseMode(const std::string& text);

  std::mutex mutex_;
  Mode mode_ = Mode::kTruth;
  Load load_;
  Load stale_load_;
};

}  // namespace cowslip::standin
