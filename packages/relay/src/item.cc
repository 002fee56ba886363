#include "cowslip/relay/item.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "cowslip/membership.h"

namespace cowslip::relay {
namespace {

std::optional<ServiceId> ServiceOf(std::string_view key) {
  const auto prefix = membership::AnnouncementPrefix();
  if (!key.starts_with(prefix)) return std::nullopt;
  const auto rest = key.substr(prefix.size());
  std::uint32_t id = 0;
  const auto [end, error] =
      std::from_chars(rest.data(), rest.data() + rest.size(), id);
  const bool whole = error == std::errc{} && end != rest.data() + rest.size();
  if (!whole || *end != '/') return std::nullopt;
  return ServiceId(id);
}

}  // namespace

bool Subscription::Matches(const StoreEntry& entry) const {
  if (all) return true;
  const auto service = ServiceOf(entry.key);
  return service && std::find(services.begin(), services.end(), *service) !=
                        services.end();
}

}  // namespace cowslip::relay
