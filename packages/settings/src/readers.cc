#include "readers.h"

#include <fstream>
#include <sstream>

namespace cowslip::settings {

StoreSettings ReadStore(yaml::MapReader& parent) {
  constexpr yaml::Range<std::chrono::milliseconds> kTimeoutRange{
      std::chrono::milliseconds(10), std::chrono::minutes(1)};
  auto reader = parent.Child("store", true);
  StoreSettings store;
  for (const auto& node : reader.List("urls", true)) {
    store.urls.push_back(node.as<std::string>(""));
    if (!store.urls.back().starts_with("http://")) {
      reader.SetError(yaml::YamlError::kOutOfRange, "urls",
                      "URL must start with http://");
    }
  }
  if (store.urls.empty()) reader.SetError(yaml::YamlError::kOutOfRange, "urls");
  store.timeout = reader.Time("timeout", kTimeoutRange, store.timeout);
  store.token = reader.Text("token", "");
  reader.Finish();
  return store;
}

std::optional<std::string> ReadFile(const std::string& path,
                                    LastReason<SettingsError>& reason) {
  std::ifstream file(path);
  std::ostringstream text;
  if (file && text << file.rdbuf()) return text.str();
  reason.Set(SettingsError::kUnreadable, path);
  return std::nullopt;
}

}  // namespace cowslip::settings
