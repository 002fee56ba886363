#pragma once

#include <cstdint>
#include <optional>

#include "cowslip/base/clock.h"

namespace cowslip::standin {

/// Distinguishes new notifications from reordered ones (RFC 7641, section 3.4).
class ObserveOrder {
 public:
  /// @param sequence value of the Observe option.
  /// @return whether the notification is newer than all accepted before.
  bool Accept(std::uint32_t sequence, TimePoint now);

 private:
  bool IsFresh(std::uint32_t sequence, TimePoint now) const;

  std::optional<std::uint32_t> newest_;
  TimePoint newest_time_{};
};

}  // namespace cowslip::standin
