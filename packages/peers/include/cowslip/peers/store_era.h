#pragma once

#include <cstdint>

namespace cowslip::peers {

/// Order of an observed era relative to the newest one seen before.
enum class EraOrder : std::uint8_t {
  kCurrent,  ///< The same era, or the first one observed.
  kNewer,    ///< The store has come back from a copy since.
  kOlder,    ///< Sent before the store came back; arrived late.
};

/// Era of the store: a number that rises each time the store comes back from an
/// older copy and thereby loses what it had acknowledged since.
///
/// Revisions and lease ids are assigned anew after that, so they identify
/// something only together with the era that assigned them.
class StoreEra {
 public:
  /// Records the era of a response.
  EraOrder Observe(std::uint64_t era);
  /// @return the newest era observed, 0 if there is none.
  std::uint64_t current() const { return current_; }

 private:
  std::uint64_t current_ = 0;
  bool known_ = false;  ///< An era has been observed.
};

}  // namespace cowslip::peers
