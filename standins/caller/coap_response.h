#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cowslip::standin {

/// A received CoAP response.
struct CoapResponse {
  /// As "class.detail", such as "2.05".
  std::string code;
  bool is_error = false;  ///< Class 4 or 5.
  std::string payload;
  /// Value of the Observe option.
  std::optional<std::uint32_t> observe;
  /// In lowercase hexadecimal, empty if there is none.
  std::string etag;
};

}  // namespace cowslip::standin
