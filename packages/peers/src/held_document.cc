#include "cowslip/peers/held_document.h"

#include <algorithm>
#include <utility>

namespace cowslip::peers {

bool HeldDocument::OnAnnounced(std::uint64_t version) {
  OnVersionInUse(version);
  if (fetching_ || version <= version_) return false;
  fetching_ = true;
  return true;
}

void HeldDocument::OnFetched(std::uint64_t version, std::string document) {
  fetching_ = false;
  OnVersionInUse(version);
  if (version <= version_) return;
  version_ = version;
  document_ = std::move(document);
}

void HeldDocument::OnVersionInUse(std::uint64_t version) {
  newest_seen_ = std::max(newest_seen_, version);
}

const std::string& HeldDocument::document() const {
  static const std::string kNone;
  return is_newest() ? document_ : kNone;
}

}  // namespace cowslip::peers
