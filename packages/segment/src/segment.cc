#include "cowslip/segment/segment.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cowslip::segment {

ServiceTag TagOf(std::string_view service_name) {
  return ServiceTag{XXH3_64bits(service_name.data(), service_name.size())};
}

std::uint64_t DataCenterTag(std::string_view name) {
  return name.empty() ? 0 : static_cast<std::uint64_t>(TagOf(name));
}

}  // namespace cowslip::segment
