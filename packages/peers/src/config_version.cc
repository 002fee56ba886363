#include "cowslip/peers/config_version.h"

#include "cowslip/peers/document_digest.h"

namespace cowslip::peers {

bool ConfigVersion::Replaces(const ConfigVersion& other) const {
  if (number != other.number) return number > other.number;
  return digest != 0 && digest != other.digest && era > other.era;
}

void ConfigVersion::ConfirmBy(const ConfigVersion& same) {
  if (number == same.number && digest == same.digest && era < same.era) {
    era = same.era;
  }
}

ConfigVersion VersionOfFetched(std::uint64_t number, std::string_view document,
                               const ConfigVersion& announced) {
  ConfigVersion version{number, 0, DocumentDigest(document)};
  version.ConfirmBy(announced);
  return version;
}

}  // namespace cowslip::peers
