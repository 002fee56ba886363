#include "cowslip/peers/version_chain.h"

namespace cowslip::peers {

void VersionChain::OnRead(const ConfigVersion& stored) {
  if (!stored_ || stored.Replaces(*stored_)) stored_ = stored;
}

void VersionChain::OnChange(const ConfigVersion& stored) {
  if (!stored_) return;
  // A read may have returned the version before the watch did.
  if (!stored.Replaces(*stored_)) return;
  link_ = VersionLink{stored, *stored_};
  stored_ = stored;
}

bool VersionChain::Follows(const ConfigVersion& version,
                           const ConfigVersion& previous) const {
  const auto link = LinkOf(version);
  return link && link->predecessor.SameDocument(previous);
}

std::optional<VersionLink> VersionChain::LinkOf(
    const ConfigVersion& version) const {
  if (!link_ || !link_->version.SameDocument(version)) return std::nullopt;
  return link_;
}

}  // namespace cowslip::peers
