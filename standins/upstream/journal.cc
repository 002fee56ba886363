#include "standins/upstream/journal.h"

#include <fcntl.h>
#include <unistd.h>

namespace cowslip::standin {

std::optional<Journal> Journal::Create(const std::string& path,
                                       LastReason<StandinError>& reason) {
  constexpr mode_t kMode = 0644;
  if (path.empty()) return Journal(UniqueFd());
  UniqueFd fd(
      open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kMode));
  if (!fd) {
    reason.Set(StandinError::kSystem, "open " + path);
    return std::nullopt;
  }
  return Journal(std::move(fd));
}

bool Journal::Append(std::string_view claim_id, TimePoint start) const {
  if (!fd_) return true;
  const std::chrono::nanoseconds time = start.time_since_epoch();
  const auto line =
      std::string(claim_id) + " " + std::to_string(time.count()) + "\n";
  return write(fd_.get(), line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
}

}  // namespace cowslip::standin
