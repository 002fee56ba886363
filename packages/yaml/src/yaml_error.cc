#include "cowslip/yaml/yaml_error.h"

namespace cowslip::yaml {

std::string_view ErrorMessage(YamlError error) {
  switch (error) {
    case YamlError::kOk:
      return "ok";
    case YamlError::kSyntax:
      return "the text is not valid YAML";
    case YamlError::kUnknownKey:
      return "unknown key";
    case YamlError::kMissingKey:
      return "a required key is missing";
    case YamlError::kWrongType:
      return "the value has the wrong type";
    case YamlError::kOutOfRange:
      return "the value is out of range";
    case YamlError::kDuplicateKey:
      return "the key is used twice";
  }
  return "unknown error";
}

}  // namespace cowslip::yaml
