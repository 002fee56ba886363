#include "cowslip/peers/table_digest.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cowslip::peers {
namespace {

constexpr int kBucketBits = 6;
constexpr int kPartBits = 4;
static_assert(TableDigest::kBuckets == 1U << kBucketBits);
static_assert(TableDigest::kParts == 1U << kPartBits);

std::uint64_t HashAddress(InstanceAddress address) {
  return XXH3_64bits(&address, sizeof address);
}

std::uint64_t HashEntry(const PeerEntry& entry) {
  const std::array<std::uint64_t, 3> words{entry.address, entry.incarnation,
                                           entry.sequence};
  return XXH3_64bits(words.data(), sizeof words);
}

}  // namespace

RangeIndex TableDigest::BucketOf(InstanceAddress address) {
  return static_cast<RangeIndex>(HashAddress(address) >> (64 - kBucketBits));
}

RangeIndex TableDigest::PartOf(InstanceAddress address) {
  const auto part = HashAddress(address) >>
                    (64 - kBucketBits - kPartBits);  // Of all buckets.
  return static_cast<RangeIndex>(kBuckets + part);
}

void TableDigest::Toggle(const PeerEntry& entry) {
  const auto hash = HashEntry(entry);
  total_ ^= hash;
  digests_[BucketOf(entry.address)] ^= hash;
  digests_[PartOf(entry.address)] ^= hash;
}

std::uint32_t TableDigest::Of(RangeIndex range) const {
  return range < kRanges ? static_cast<std::uint32_t>(digests_[range]) : 0;
}

DigestRun TableDigest::Run(std::size_t first) const {
  DigestRun run;
  run.first = static_cast<RangeIndex>(first);
  for (std::size_t i = 0; i < DigestRun::kLength; ++i) {
    run.digests[i] = Of(static_cast<RangeIndex>(first + i));
  }
  return run;
}

std::vector<DigestRun> TableDigest::Buckets() const {
  std::vector<DigestRun> runs;
  for (std::size_t first = 0; first < kBuckets; first += DigestRun::kLength) {
    runs.push_back(Run(first));
  }
  return runs;
}

DigestRun TableDigest::Parts(RangeIndex bucket) const {
  return Run(kBuckets + bucket * kParts);
}

}  // namespace cowslip::peers
