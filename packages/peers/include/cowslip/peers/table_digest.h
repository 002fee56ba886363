#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "cowslip/peers/peer_entry.h"

namespace cowslip::peers {

/// Index of a part of the table: a bucket, or a part of a bucket.
using RangeIndex = std::uint16_t;

/// Digests of consecutive ranges of a table.
struct DigestRun {
  static constexpr std::size_t kLength = 16;

  RangeIndex first = 0;  ///< Range of the first digest.
  std::array<std::uint32_t, kLength> digests{};
};

/// Digests of a membership table and of its parts, kept up to date with each
/// change: two tables that differ find the entries that differ by comparing the
/// parts, a Merkle tree of two levels.
///
/// Entries belong to 64 buckets of 16 parts each by the hash of their address.
/// With 50,000 entries, a part has about 50.
class TableDigest {
 public:
  static constexpr std::size_t kBuckets = 64;
  static constexpr std::size_t kParts = DigestRun::kLength;
  static constexpr std::size_t kRanges = kBuckets * (1 + kParts);

  /// Adds an entry that is not included, or removes one that is.
  void Toggle(const PeerEntry& entry);
  /// @return a hash that is equal for equal tables.
  std::uint64_t total() const { return total_; }
  /// @return the digest of a range.
  std::uint32_t Of(RangeIndex range) const;
  /// @return the digests of all buckets.
  std::vector<DigestRun> Buckets() const;
  /// @return the digests of the parts of a bucket.
  DigestRun Parts(RangeIndex bucket) const;

  static bool IsBucket(RangeIndex range) { return range < kBuckets; }
  /// @return the bucket of an address.
  static RangeIndex BucketOf(InstanceAddress address);
  /// @return the part of a bucket that an address belongs to.
  static RangeIndex PartOf(InstanceAddress address);

 private:
  DigestRun Run(std::size_t first) const;

  std::uint64_t total_ = 0;
  std::array<std::uint64_t, kRanges> digests_{};
};

}  // namespace cowslip::peers
