#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cowslip/base.h"
#include "cowslip/peers/evacuation_snapshot.h"

namespace cowslip::peers {

/// What StoredEvacuations did with a key.
enum class StoredKeyResult : std::uint8_t {
  kOther,    ///< Not the key of an evacuation.
  kApplied,  ///< Applied, or known already.
  kRefused,  ///< An invalid name, or one more than are kept.
};

/// The evacuations as one process reads them in the store: a list of one or
/// more pages, then the changes that a watch returns.
class StoredEvacuations {
 public:
  /// Keys of evacuations begin with this; the name of the data centre follows.
  static constexpr std::string_view kKeyPrefix = "op/evacuate/";

  /// A list begins, which replaces what is known.
  void BeginList() { listed_ = {}; }
  /// A page of the list holds a key.
  StoredKeyResult OnListed(std::string_view key);
  /// The list has ended without an error.
  /// @param first position of the store at the first page. A watch from there
  ///     also returns what changed between the pages.
  void EndList(const StorePosition& first);

  /// The watch has returned the change of a key.
  StoredKeyResult OnChange(std::string_view key, bool removed,
                           const StorePosition& changed);
  /// The watch has returned all changes up to a position.
  void OnWatchedUpTo(const StorePosition& position);

  /// @return whether a name that was refused for want of room may be held by
  ///     now, so that the store has to be listed again.
  bool needs_list() const { return overflowed_ && has_room(); }
  /// @return whether a list has ended.
  bool known() const { return known_; }
  const EvacuationSnapshot& snapshot() const { return snapshot_; }

 private:
  bool has_room() const {
    return snapshot_.names.size() < EvacuationSnapshot::kMaxNames;
  }

  DataCenterNames listed_;
  EvacuationSnapshot snapshot_;
  bool known_ = false;
  bool overflowed_ = false;  ///< A name was refused for want of room.
};

}  // namespace cowslip::peers
