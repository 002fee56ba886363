#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cowslip/base/clock.h"
#include "cowslip/base/last_reason.h"
#include "standins/common/standin_error.h"
#include "standins/common/unique_fd.h"

namespace cowslip::standin {

/// Log file with one line for each run that starts, so that tests can detect
/// requests that ran twice. Several processes may append to the same file.
class Journal {
 public:
  /// @param path empty to write nothing.
  static std::optional<Journal> Create(const std::string& path,
                                       LastReason<StandinError>& reason);

  /// @return false if the line was not written completely.
  bool Append(std::string_view claim_id, TimePoint start) const;

 private:
  explicit Journal(UniqueFd fd) : fd_(std::move(fd)) {}

  UniqueFd fd_;
};

}  // namespace cowslip::standin
