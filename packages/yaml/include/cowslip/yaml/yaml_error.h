#pragma once

#include <string_view>

namespace cowslip::yaml {

enum class YamlError {
  kOk,
  kSyntax,
  kUnknownKey,
  kMissingKey,
  kWrongType,
  kOutOfRange,
  kDuplicateKey,
};

/// @return one sentence for operators.
std::string_view ErrorMessage(YamlError error);

}  // namespace cowslip::yaml
