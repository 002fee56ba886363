#include "cowslip/segment/segment.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cowslip::segment {

ServiceTag TagOf(std::string_view service_name) {
  return ServiceTag{XXH3_64bits(service_name.data(), service_name.size())};
}

}  // namespace cowslip::segment
