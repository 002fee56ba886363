#pragma once

#include <string_view>

namespace cowslip::coap {

enum class CoapError {
  kOk,
  kMalformed,
  kTooLarge,
};

/// @return one sentence for operators.
std::string_view ErrorMessage(CoapError error);

}  // namespace cowslip::coap
