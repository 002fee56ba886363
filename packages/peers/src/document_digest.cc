#include "cowslip/peers/document_digest.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace cowslip::peers {

std::uint64_t DocumentDigest(std::string_view document) {
  return std::max<std::uint64_t>(1,
                                 XXH3_64bits(document.data(), document.size()));
}

}  // namespace cowslip::peers
