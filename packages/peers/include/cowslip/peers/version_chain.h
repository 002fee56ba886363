#pragma once

#include <optional>

#include "cowslip/peers/config_version.h"

namespace cowslip::peers {

/// Two versions of the configuration between which there was no other.
struct VersionLink {
  ConfigVersion version;
  ConfigVersion predecessor;
};

/// Knows which version directly follows another one, from an unbroken watch on
/// the store or from an instance that has one.
///
/// Numbers rise in steps of any size, so they don't show a version that was
/// missed: one that came and went while a watch was interrupted, or between two
/// fetches.
class VersionChain {
 public:
  /// A read of the store has returned its version; a watch continues from here.
  void OnRead(const ConfigVersion& stored);
  /// The watch has returned the next version after the last one.
  void OnChange(const ConfigVersion& stored);
  /// The watch has ended, so the next version may be missed.
  void OnWatchBroken() { stored_.reset(); }
  /// Another instance has sent a link along with a version.
  void OnLink(const VersionLink& link) { link_ = link; }

  /// @return whether `version` is known to follow `previous` directly.
  bool Follows(const ConfigVersion& version,
               const ConfigVersion& previous) const;
  /// @return the link to the predecessor of a version, if it is known.
  std::optional<VersionLink> LinkOf(const ConfigVersion& version) const;

 private:
  /// Version in the store as of an unbroken watch.
  std::optional<ConfigVersion> stored_;
  std::optional<VersionLink> link_;
};

}  // namespace cowslip::peers
