#pragma once

#include <cstdint>
#include <string_view>

namespace cowslip::peers {

/// @return a hash of the bytes of a configuration document, which tells
///     documents with the same version number apart. Never 0.
std::uint64_t DocumentDigest(std::string_view document);

}  // namespace cowslip::peers
