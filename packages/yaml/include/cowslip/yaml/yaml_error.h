#pragma once

#include <string_view>

namespace cowslip::yaml {

/// Why a YAML document was rejected.
enum class YamlError {
  kOk,
  kSyntax,
  kUnknownKey,
  kMissingKey,
  kWrongType,
  kOutOfRange,
  kDuplicateKey,
};

/// @return a one-line message for operators.
std::string_view ErrorMessage(YamlError error);

}  // namespace cowslip::yaml
