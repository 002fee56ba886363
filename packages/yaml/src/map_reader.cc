#include "cowslip/yaml/map_reader.h"

#include <algorithm>

namespace cowslip::yaml {
namespace {

std::string Position(const std::string& file, const YAML::Node& node) {
  const auto mark = node.Mark();
  return file + ":" + std::to_string(mark.is_null() ? 1 : mark.line + 1);
}

template <typename T>
std::optional<T> Convert(const YAML::Node& node) {
  if (!node.IsScalar()) return std::nullopt;
  T value{};
  if (!YAML::convert<T>::decode(node, value)) return std::nullopt;
  return value;
}

bool IsDigits(const std::string& text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c >= '0' && c <= '9';
  });
}

/// Looks up a key in a const map: in a non-const one, yaml-cpp would insert a
/// missing key, which would invalidate iterators.
YAML::Node Lookup(const YAML::Node& map, const std::string& key) {
  if (!map.IsMap()) return YAML::Node(YAML::NodeType::Undefined);
  const YAML::Node found = map[key];
  return found.IsDefined() ? found : YAML::Node(YAML::NodeType::Undefined);
}

}  // namespace

MapReader::MapReader(const YAML::Node& node, std::string_view file,
                     std::string path, LastReason<YamlError>& reason)
    : node_(node), file_(file), path_(std::move(path)), reason_(&reason) {
  if (!node_.IsMap() && !node_.IsNull()) SetError(YamlError::kWrongType, "");
}

void MapReader::SetError(YamlError error, const std::string& key,
                         std::string_view detail) {
  if (!reason_->ok()) return;
  const auto found = Lookup(node_, key);
  std::string field = path_;
  if (!key.empty()) field += (field.empty() ? "" : ".") + key;
  if (!detail.empty()) field += " (" + std::string(detail) + ")";
  reason_->Set(
      error, Position(file_, found.IsDefined() ? found : node_) + ": " + field);
}

std::optional<YAML::Node> MapReader::ReadNode(const std::string& key,
                                              bool required) {
  read_keys_.insert(key);
  if (!ok()) return std::nullopt;
  const auto found = Lookup(node_, key);
  if (found.IsDefined()) return found;
  if (required) SetError(YamlError::kMissingKey, key);
  return std::nullopt;
}

bool MapReader::Has(const std::string& key) const {
  return Lookup(node_, key).IsDefined();
}

std::string MapReader::Text(const std::string& key,
                            const std::optional<std::string>& fallback) {
  const auto node = ReadNode(key, !fallback);
  if (!node) return fallback.value_or("");
  const auto value = Convert<std::string>(*node);
  if (!value) SetError(YamlError::kWrongType, key, "text expected");
  return value.value_or("");
}

std::uint64_t MapReader::Number(const std::string& key,
                                Range<std::uint64_t> range,
                                std::optional<std::uint64_t> fallback) {
  const auto node = ReadNode(key, !fallback);
  if (!node) return fallback.value_or(range.min);
  const auto text = Convert<std::string>(*node);
  const auto value = Convert<std::uint64_t>(*node);
  if (!value || !IsDigits(*text)) {
    SetError(YamlError::kWrongType, key, "whole number expected");
    return range.min;
  }
  if (*value < range.min || *value > range.max) {
    SetError(YamlError::kOutOfRange, key,
             std::to_string(range.min) + " to " + std::to_string(range.max));
    return range.min;
  }
  return *value;
}

double MapReader::Real(const std::string& key, Range<double> range,
                       std::optional<double> fallback) {
  const auto node = ReadNode(key, !fallback);
  if (!node) return fallback.value_or(range.min);
  const auto value = Convert<double>(*node);
  if (!value) {
    SetError(YamlError::kWrongType, key, "number expected");
    return range.min;
  }
  if (!(*value >= range.min && *value <= range.max)) {
    SetError(YamlError::kOutOfRange, key,
             std::to_string(range.min) + " to " + std::to_string(range.max));
    return range.min;
  }
  return *value;
}

bool MapReader::Flag(const std::string& key, bool fallback) {
  const auto node = ReadNode(key, false);
  if (!node) return fallback;
  const auto value = Convert<bool>(*node);
  if (!value) SetError(YamlError::kWrongType, key, "true or false expected");
  return value.value_or(fallback);
}

std::chrono::milliseconds MapReader::Time(
    const std::string& key, Range<std::chrono::milliseconds> range,
    std::optional<std::chrono::milliseconds> fallback) {
  const auto node = ReadNode(key, !fallback);
  if (!node) return fallback.value_or(range.min);
  const auto text = Convert<std::string>(*node);
  const auto value = text ? ParseDuration(*text) : std::nullopt;
  if (!value) {
    SetError(YamlError::kWrongType, key, "time such as 250ms or 2s expected");
    return range.min;
  }
  if (*value < range.min || *value > range.max) {
    SetError(YamlError::kOutOfRange, key,
             FormatDuration(range.min) + " to " + FormatDuration(range.max));
    return range.min;
  }
  return *value;
}

Endpoint MapReader::Address(const std::string& key,
                            std::optional<Endpoint> fallback) {
  const auto node = ReadNode(key, !fallback);
  if (!node) return fallback.value_or(Endpoint{});
  const auto text = Convert<std::string>(*node);
  const auto value = text ? ParseEndpoint(*text) : std::nullopt;
  if (!value) SetError(YamlError::kWrongType, key, "address:port expected");
  return value.value_or(Endpoint{});
}

std::size_t MapReader::Choice(const std::string& key,
                              std::initializer_list<std::string_view> names,
                              std::optional<std::size_t> fallback) {
  const auto node = ReadNode(key, !fallback);
  if (!node) return fallback.value_or(0);
  const auto text = Convert<std::string>(*node);
  const auto found = std::find(names.begin(), names.end(), text.value_or(""));
  if (found != names.end()) return found - names.begin();
  std::string allowed;
  for (const auto name : names) {
    if (!allowed.empty()) allowed += ", ";
    allowed += name;
  }
  SetError(YamlError::kOutOfRange, key, "one of " + allowed);
  return 0;
}

std::vector<YAML::Node> MapReader::List(const std::string& key, bool required) {
  const auto node = ReadNode(key, required);
  if (!node) return {};
  if (!node->IsSequence()) {
    SetError(YamlError::kWrongType, key, "list expected");
    return {};
  }
  return {node->begin(), node->end()};
}

MapReader MapReader::Child(const std::string& key, bool required) {
  const auto node = ReadNode(key, required);
  const auto path = path_.empty() ? key : path_ + "." + key;
  return {node ? *node : YAML::Node(YAML::NodeType::Null), file_, path,
          *reason_};
}

MapReader MapReader::Element(const YAML::Node& node, const std::string& key,
                             std::size_t index) {
  const auto path = (path_.empty() ? key : path_ + "." + key) + "[" +
                    std::to_string(index) + "]";
  return {node, file_, path, *reason_};
}

bool MapReader::Finish() {
  if (!ok() || !node_.IsMap()) return ok();
  std::set<std::string> seen_keys;
  for (const auto& entry : node_) {
    const auto key = entry.first.as<std::string>("");
    if (!read_keys_.contains(key)) SetError(YamlError::kUnknownKey, key);
    if (!seen_keys.insert(key).second) SetError(YamlError::kDuplicateKey, key);
  }
  return ok();
}

std::optional<YAML::Node> ParseMap(std::string_view text, std::string_view file,
                                   LastReason<YamlError>& reason) {
  try {
    const auto node = YAML::Load(std::string(text));
    if (node.IsMap()) return node;
    reason.Set(YamlError::kWrongType, std::string(file) + ":1: map expected");
  } catch (const YAML::Exception& error) {
    reason.Set(YamlError::kSyntax, std::string(file) + ":" +
                                       std::to_string(error.mark.line + 1) +
                                       ": " + error.msg);
  }
  return std::nullopt;
}

std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text) {
  constexpr std::uint64_t kMaxDigits = 12;
  const auto digits = text.find_first_not_of("0123456789");
  if (digits == 0 || digits == std::string_view::npos || digits > kMaxDigits) {
    return std::nullopt;
  }
  const auto count = std::stoll(std::string(text.substr(0, digits)));
  const auto unit = text.substr(digits);
  if (unit == "ms") return std::chrono::milliseconds(count);
  if (unit == "s") return std::chrono::seconds(count);
  if (unit == "m") return std::chrono::minutes(count);
  if (unit == "h") return std::chrono::hours(count);
  return std::nullopt;
}

std::string FormatDuration(std::chrono::milliseconds time) {
  constexpr auto kMillisecondsPerSecond = 1000;
  if (time.count() % kMillisecondsPerSecond != 0) {
    return std::to_string(time.count()) + "ms";
  }
  return std::to_string(time.count() / kMillisecondsPerSecond) + "s";
}

}  // namespace cowslip::yaml
