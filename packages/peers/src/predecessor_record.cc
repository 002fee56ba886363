#include "cowslip/peers/predecessor_record.h"

namespace cowslip::peers {
namespace {

/// Instance and upstream of a machine that starts do so within this time of
/// each other. An older upstream was served by an earlier process.
constexpr std::chrono::seconds kJointStart{2};

/// @return whether the process of the entry may have served the upstream. An
///     entry of an earlier era may be older than the last of its process.
bool HasServed(const PeerEntry& entry, const ServedUpstream& upstream,
               std::uint64_t era) {
  if (entry.upstream == 0 || entry.upstream == upstream.incarnation) {
    return true;
  }
  return entry.WrittenBefore(era) && upstream.lead > kJointStart;
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
  if (!stored_ && !from_peers) return upstream.lead > kJointStart;
  return (stored_ && HasServed(*stored_, upstream, era)) ||
         (from_peers && HasServed(*from_peers, upstream, era));
}

}  // namespace cowslip::peers
