#include "standins/upstream/load_report.h"

namespace cowslip::standin {

void LoadReport::Set(const Load& load) {
  const std::lock_guard lock(mutex_);
  load_ = load;
}

bool LoadReport::SetMode(const std::string& mode) {
  const auto parsed = ParseMode(mode);
  if (!parsed) return false;
  const std::lock_guard lock(mutex_);
  mode_ = *parsed;
  stale_load_ = load_;
  return true;
}

std::optional<LoadReport::Mode> LoadReport::ParseMode(const std::string& text) {
  if (text == "truth") return Mode::kTruth;
  if (text == "idle") return Mode::kIdle;
  if (text == "dead") return Mode::kDead;
  if (text == "stale") return Mode::kStale;
  return std::nullopt;
}

bool LoadReport::ReportedHealth() {
  const std::lock_guard lock(mutex_);
  return mode_ != Mode::kDead;
}

Load LoadReport::ReportedLoad() {
  const std::lock_guard lock(mutex_);
  if (mode_ == Mode::kIdle) return {};
  return mode_ == Mode::kStale ? stale_load_ : load_;
}

}  // namespace cowslip::standin
