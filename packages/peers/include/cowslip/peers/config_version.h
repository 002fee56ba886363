#pragma once

#include <cstdint>
#include <string_view>

namespace cowslip::peers {

/// Identifies a document of the configuration.
///
/// A number can stand for two documents: after the store has come back from an
/// older copy, operators may assign a lost number to other contents. The later
/// era tells which one holds.
struct ConfigVersion {
  std::uint64_t number = 0;  ///< As assigned by operators; 0 for no document.
  /// Newest era in which the store is known to have held the document, 0 if it
  /// is not known.
  std::uint64_t era = 0;
  std::uint64_t digest = 0;  ///< DocumentDigest(), 0 if it is not known.

  /// @return whether this version comes into force where `other` is. A higher
  ///     number does in any era, as accepted changes are never reverted.
  bool Replaces(const ConfigVersion& other) const;
  /// @return whether both are known to be of one document.
  bool SameDocument(const ConfigVersion& other) const {
    return number == other.number && digest == other.digest && digest != 0;
  }
  /// Takes over the era of the same document, if it is newer.
  void ConfirmBy(const ConfigVersion& same);

  bool operator==(const ConfigVersion&) const = default;
};

/// @return the version of a document fetched from an instance that had
///     announced `announced`. The instance may have replaced it meanwhile; the
///     era is then not known.
ConfigVersion VersionOfFetched(std::uint64_t number, std::string_view document,
                               const ConfigVersion& announced);

}  // namespace cowslip::peers
