#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cowslip/base/clock.h"
#include "cowslip/base/last_reason.h"
#include "standins/common/standin_error.h"
#include "standins/common/unique_fd.h"

namespace cowslip::standin {

/// Appends a line to a file for each run that starts; several processes may
/// share the file.
class Journal {
 public:
  /// @param path empty for a journal that keeps nothing.
  static std::optional<Journal> Create(const std::string& path,
                                       LastReason<StandinError>& reason);

  /// @return false if the line was not written whole.
  bool Append(std::string_view claim_id, TimePoint start) const;

 private:
  explicit Journal(UniqueFd fd) : fd_(std::move(fd)) {}

  UniqueFd fd_;
};

}  // namespace cowslip::standin
