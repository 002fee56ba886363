#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cowslip::standin {

/// A received CoAP response.
struct CoapResponse {
  /// "2.05" and the like.
  std::string code;
  bool is_error = false;
  std::string payload;
  std::optional<std::uint32_t> observe;
  /// Lowercase hexadecimal, empty if there is none.
  std::string etag;
};

}  // namespace cowslip::standin
