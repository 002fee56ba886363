#include "cowslip/settings/ctl_settings.h"

#include "readers.h"

namespace cowslip::settings {

std::optional<CtlSettings> ParseCtlSettings(std::string_view text,
                                            std::string_view file,
                                            LastReason<SettingsError>& reason) {
  LastReason<yaml::YamlError> yaml_reason;
  const auto node = yaml::ParseMap(text, file, yaml_reason);
  CtlSettings settings;
  if (node) {
    yaml::MapReader reader(*node, file, "", yaml_reason);
    settings.store = ReadStore(reader);
    std::size_t index = 0;
    for (const auto& item : reader.List("instances", false)) {
      auto element = reader.Element(item, "instances", index++);
      settings.instances.push_back(
          {element.Text("name"), element.Address("http")});
      element.Finish();
    }
    reader.Finish();
  }
  if (yaml_reason.ok()) return settings;
  reason.Set(SettingsError::kInvalid, yaml_reason.Message());
  return std::nullopt;
}

std::optional<CtlSettings> LoadCtlSettings(const std::string& path,
                                           LastReason<SettingsError>& reason) {
  const auto text = ReadFile(path, reason);
  if (!text) return std::nullopt;
  return ParseCtlSettings(*text, path, reason);
}

}  // namespace cowslip::settings
