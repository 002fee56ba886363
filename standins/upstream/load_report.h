#pragma once

#include <cstddef>
#include <mutex>
#include <optional>
#include <string>

namespace cowslip::standin {

/// Number of runs at an upstream.
struct Load {
  std::size_t in_progress = 0;
  std::size_t queued = 0;
};

/// Health and load that an upstream reports; it can be set to misreport them.
/// Thread-safe.
class LoadReport {
 public:
  void Set(const Load& load);
  /// @param mode "truth", "idle" (reports no load), "dead" (reports itself
  /// unhealthy) or "stale" (keeps reporting the current load).
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
