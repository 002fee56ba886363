#include "cowslip/peers/predecessor_record.h"

namespace cowslip::peers {
namespace {

/// Instance and upstream of a new machine start within this time of each other.
constexpr std::chrono::seconds kJointStart{5};

bool MayBeOf(const std::optional<PeerEntry>& entry, std::uint64_t upstream,
             std::uint64_t era) {
  if (!entry) return false;
  const bool outdated = entry->lease_era != 0 && entry->lease_era < era;
  return outdated || entry->upstream == 0 || entry->upstream == upstream;
}

}  // namespace

void PredecessorRecord::OnStored(const std::optional<PeerEntry>& entry) {
  known_ = true;
  stored_ = entry;
}

bool PredecessorRecord::MayHaveServed(
    const ServedUpstream& upstream, const std::optional<PeerEntry>& from_peers,
    std::uint64_t era) const {
  if (!known_) return true;
  // An upstream that is much older than the process was served by another one,
  // whose entry the store has lost.
  const bool lost = !stored_ && !from_peers && upstream.lead > kJointStart;
  return lost || MayBeOf(stored_, upstream.incarnation, era) ||
         MayBeOf(from_peers, upstream.incarnation, era);
}

}  // namespace cowslip::peers
