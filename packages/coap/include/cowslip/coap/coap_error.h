#pragma once

#include <string_view>

namespace cowslip::coap {

/// Why a message can't be decoded or encoded.
enum class CoapError {
  kOk,
  kMalformed,
  kTooLarge,
};

/// @return a one-line message for operators.
std::string_view ErrorMessage(CoapError error);

}  // namespace cowslip::coap
