#pragma once

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/yaml/yaml_error.h"

namespace cowslip::yaml {

/// Inclusive limits of a number.
template <typename T>
struct Range {
  T min;
  T max;
};

/// Reads the keys of one YAML map and remembers the first fault.
///
/// Every getter returns the fallback after a fault, so that a caller reads all
/// keys in sequence and asks ok() once at the end. Finish() refuses keys that
/// nobody read.
class MapReader {
 public:
  /// @param path dotted path of the map, for messages.
  MapReader(const YAML::Node& node, std::string_view file, std::string path,
            LastReason<YamlError>& reason);

  bool Has(const std::string& key) const;
  std::string Text(const std::string& key,
                   const std::optional<std::string>& fallback = std::nullopt);
  std::uint64_t Number(const std::string& key, Range<std::uint64_t> range,
                       std::optional<std::uint64_t> fallback = std::nullopt);
  double Real(const std::string& key, Range<double> range,
              std::optional<double> fallback = std::nullopt);
  bool Flag(const std::string& key, bool fallback);
  /// Reads "250ms", "2s", "5m" or "1h".
  std::chrono::milliseconds Time(
      const std::string& key, Range<std::chrono::milliseconds> range,
      std::optional<std::chrono::milliseconds> fallback = std::nullopt);
  Endpoint Address(const std::string& key,
                   std::optional<Endpoint> fallback = std::nullopt);
  /// @return the index of the value within the allowed names.
  std::size_t Choice(const std::string& key,
                     std::initializer_list<std::string_view> names,
                     std::optional<std::size_t> fallback = std::nullopt);
  std::vector<YAML::Node> List(const std::string& key, bool required);
  /// @return a reader of the map below the key; of an empty map if absent.
  MapReader Child(const std::string& key, bool required);

  /// @return a reader of one element of a list.
  MapReader Element(const YAML::Node& node, const std::string& key,
                    std::size_t index);

  /// Refuses keys that were not read. @return whether no fault occurred.
  bool Finish();
  bool ok() const { return reason_->ok(); }
  void SetError(YamlError error, const std::string& key,
                std::string_view detail = {});

 private:
  std::optional<YAML::Node> Take(const std::string& key, bool required);

  YAML::Node node_;
  std::string file_;
  std::string path_;
  LastReason<YamlError>* reason_;
  std::set<std::string> read_;
};

/// Parses a document. @return std::nullopt if the text isn't one YAML map.
std::optional<YAML::Node> ParseMap(std::string_view text, std::string_view file,
                                   LastReason<YamlError>& reason);

/// Parses "250ms", "2s", "5m" or "1h".
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text);

/// @return the shortest form that ParseDuration reads back.
std::string FormatDuration(std::chrono::milliseconds time);

}  // namespace cowslip::yaml
