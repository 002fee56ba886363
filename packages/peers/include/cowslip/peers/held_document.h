#pragma once

#include <cstdint>
#include <string>

#include "cowslip/peers/config_version.h"

namespace cowslip::peers {

/// Copy of the configuration document that a sidecar keeps for balancers that
/// start while neither the store nor another balancer answers.
///
/// A copy that is known to be outdated is neither announced nor given out: a
/// balancer must not take up a version that others have replaced.
class HeldDocument {
 public:
  /// A balancer has announced the version that it has in force.
  /// @return whether to fetch the document from it.
  bool OnAnnounced(const ConfigVersion& version);
  /// The fetch that OnAnnounced() asked for has ended without a document.
  void OnFetchFailed() { fetching_ = false; }
  /// The fetch has returned a document. Keeps it if it is newer.
  void OnFetched(std::uint64_t number, std::string document);
  /// Some balancer has been seen to use the version with this number.
  void OnVersionInUse(std::uint64_t number);
  /// The store has come back from an older copy. Versions that were seen in use
  /// may be lost for good, so the copy counts as the newest until one of them
  /// is seen again.
  void OnStoreReturned() { newest_seen_ = version_; }

  /// @return the version to announce, none if there is no usable copy.
  ConfigVersion version() const;
  /// @return the document, empty if there is no usable copy.
  const std::string& document() const;

 private:
  bool is_newest() const {
    return version_.number != 0 && !newest_seen_.Replaces(version_);
  }
  void OnSeen(const ConfigVersion& version);

  ConfigVersion version_;
  std::string document_;
  ConfigVersion newest_seen_;
  bool fetching_ = false;
};

}  // namespace cowslip::peers
