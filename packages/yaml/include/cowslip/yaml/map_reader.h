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

/// Reads and validates the keys of one YAML map and records the first error.
///
/// After an error, every getter returns its fallback or the least valid value,
/// so that a caller reads all keys in sequence and checks Finish() or ok()
/// once. Finish() rejects keys that were not read. Readers of child maps and
/// elements record errors in the same place.
class MapReader {
 public:
  /// @param file name of the source, for error messages.
  /// @param path dotted path of the map in the document, for error messages.
  /// @param reason receives the first error; must outlive the reader.
  MapReader(const YAML::Node& node, std::string_view file, std::string path,
            LastReason<YamlError>& reason);

  /// @return whether the map has the key; doesn't count as reading it.
  bool Has(const std::string& key) const;
  // Getters. A key without a fallback is required.
  std::string Text(const std::string& key,
                   const std::optional<std::string>& fallback = std::nullopt);
  /// Reads an unsigned integer in decimal digits.
  std::uint64_t Number(const std::string& key, Range<std::uint64_t> range,
                       std::optional<std::uint64_t> fallback = std::nullopt);
  double Real(const std::string& key, Range<double> range,
              std::optional<double> fallback = std::nullopt);
  /// Reads a boolean.
  bool Flag(const std::string& key, bool fallback);
  /// Reads a duration: "250ms", "2s", "5m" or "1h".
  std::chrono::milliseconds Time(
      const std::string& key, Range<std::chrono::milliseconds> range,
      std::optional<std::chrono::milliseconds> fallback = std::nullopt);
  /// Reads "address:port".
  Endpoint Address(const std::string& key,
                   std::optional<Endpoint> fallback = std::nullopt);
  /// @return the index of the value within the allowed names.
  std::size_t Choice(const std::string& key,
                     std::initializer_list<std::string_view> names,
                     std::optional<std::size_t> fallback = std::nullopt);
  /// @return the elements of a sequence, none if the key is absent.
  std::vector<YAML::Node> List(const std::string& key, bool required);
  /// @return a reader of the map under the key, of an empty map if it is
  /// absent.
  MapReader Child(const std::string& key, bool required);

  /// @return a reader of one element of List(), which must be a map.
  MapReader Element(const YAML::Node& node, const std::string& key,
                    std::size_t index);

  /// Records an error if the map has keys that were not read, or duplicate
  /// keys.
  /// @return whether no error was recorded.
  bool Finish();
  bool ok() const { return reason_->ok(); }
  /// Records an error with the position of the key, unless there is one
  /// already.
  void SetError(YamlError error, const std::string& key,
                std::string_view detail = {});

 private:
  std::optional<YAML::Node> ReadNode(const std::string& key, bool required);

  YAML::Node node_;
  std::string file_;
  std::string path_;
  LastReason<YamlError>* reason_;
  std::set<std::string> read_keys_;
};

/// Parses a document.
/// @return std::nullopt if the text isn't valid YAML or not a map.
std::optional<YAML::Node> ParseMap(std::string_view text, std::string_view file,
                                   LastReason<YamlError>& reason);

/// Parses a duration: "250ms", "2s", "5m" or "1h".
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text);

/// Formats a duration in seconds if it is a whole number of them, otherwise in
/// milliseconds; ParseDuration() parses the result.
std::string FormatDuration(std::chrono::milliseconds time);

}  // namespace cowslip::yaml
