#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "cowslip/peers/evacuation_snapshot.h"

namespace cowslip::peers {

/// What a gossip message tells of evacuations.
struct EvacuationReport {
  /// The newest state that the sender knows; std::nullopt if it knows none.
  std::optional<EvacuationSnapshot> state;
  /// The names of `state` and `held` are left out, as they would make a message
  /// with other contents too long.
  bool names_omitted = false;
  /// Digest of the names in `state`, to compare them if they are left out.
  std::uint64_t digest = 0;
  /// Evacuations of an earlier era of the store that stay in force, and their
  /// position in that era. No names if there are none.
  EvacuationSnapshot held;
  /// Time until `held` ends; 0 if it has ended in the era of `state`.
  std::chrono::milliseconds hold_left{};
  /// Time since some instance read the present names from the store.
  std::chrono::milliseconds age{};
  /// The sender has compared its state with the store or with another balancer
  /// since it started or was suspended.
  bool confirmed = false;
  /// Number that the answer has to repeat; 0 if the sender asks for none.
  std::uint32_t query = 0;
  std::uint32_t answer = 0;  ///< The query that this message answers, or 0.

  bool operator==(const EvacuationReport&) const = default;
};

}  // namespace cowslip::peers
