#pragma once

#include <cstdint>
#include <string>

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
  bool OnAnnounced(std::uint64_t version);
  /// The fetch that OnAnnounced() asked for has ended without a document.
  void OnFetchFailed() { fetching_ = false; }
  /// The fetch has returned a document. Keeps it if it is newer.
  void OnFetched(std::uint64_t version, std::string document);
  /// Some balancer has been seen to use this version.
  void OnVersionInUse(std::uint64_t version);

  /// @return the version to announce, 0 if there is no usable copy.
  std::uint64_t version() const { return is_newest() ? version_ : 0; }
  /// @return the document, empty if there is no usable copy.
  const std::string& document() const;

 private:
  bool is_newest() const { return version_ != 0 && version_ >= newest_seen_; }

  std::uint64_t version_ = 0;
  std::string document_;
  std::uint64_t newest_seen_ = 0;
  bool fetching_ = false;
};

}  // namespace cowslip::peers
