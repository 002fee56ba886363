#include "cowslip/peers/held_document.h"

#include <utility>

namespace cowslip::peers {

void HeldDocument::OnSeen(const ConfigVersion& version) {
  if (version.Replaces(newest_seen_)) newest_seen_ = version;
  newest_seen_.ConfirmBy(version);
}

bool HeldDocument::OnAnnounced(const ConfigVersion& version) {
  OnSeen(version);
  version_.ConfirmBy(version);
  if (fetching_ || !version.Replaces(version_)) return false;
  fetching_ = true;
  return true;
}

void HeldDocument::OnFetched(std::uint64_t number, std::string document) {
  fetching_ = false;
  const auto version = VersionOfFetched(number, document, newest_seen_);
  OnSeen(version);
  if (!version.Replaces(version_)) return;
  version_ = version;
  document_ = std::move(document);
}

void HeldDocument::OnVersionInUse(std::uint64_t number) {
  OnSeen({.number = number});
}

ConfigVersion HeldDocument::version() const {
  return is_newest() ? version_ : ConfigVersion{};
}

const std::string& HeldDocument::document() const {
  static const std::string kNone;
  return is_newest() ? document_ : kNone;
}

}  // namespace cowslip::peers
