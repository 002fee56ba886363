#include "response_parser.h"

#include <nlohmann/json.hpp>

#include "cowslip/base.h"

namespace cowslip::consul {
namespace {

using Json = nlohmann::json;

std::optional<std::string> ParseValue(const Json& value) {
  if (value.is_null()) return std::string{};
  if (!value.is_string()) return std::nullopt;
  return DecodeBase64(value.get_ref<const std::string&>());
}

std::optional<KeyValue> ParseKeyValue(const Json& entry) {
  if (!entry.is_object()) return std::nullopt;
  const auto key = entry.find("Key");
  const auto value = entry.find("Value");
  const auto index = entry.find("ModifyIndex");
  if (key == entry.end() || value == entry.end() || index == entry.end()) {
    return std::nullopt;
  }
  if (!key->is_string() || !index->is_number_unsigned()) return std::nullopt;
  auto bytes = ParseValue(*value);
  if (!bytes) return std::nullopt;
  KeyValue result{key->get<std::string>(),
                  std::move(*bytes),
                  index->get<std::uint64_t>(),
                  {}};
  const auto session = entry.find("Session");
  if (session != entry.end() && session->is_string()) {
    result.session = session->get<std::string>();
  }
  return result;
}

}  // namespace

std::optional<std::vector<KeyValue>> ParseKeyValues(
    std::string_view body, LastReason<ConsulError>& reason) {
  const auto json = Json::parse(body, nullptr, false);
  if (!json.is_array()) {
    reason.Set(ConsulError::kInvalidResponse, "not a JSON array of entries");
    return std::nullopt;
  }
  std::vector<KeyValue> values;
  values.reserve(json.size());
  for (const auto& entry : json) {
    auto value = ParseKeyValue(entry);
    if (!value) {
      reason.Set(ConsulError::kInvalidResponse,
                 "invalid entry " + std::to_string(values.size()));
      return std::nullopt;
    }
    values.push_back(std::move(*value));
  }
  return values;
}

std::optional<Session> ParseSession(std::string_view body,
                                    LastReason<ConsulError>& reason) {
  const auto json = Json::parse(body, nullptr, false);
  const bool has_id =
      json.is_object() && json.contains("ID") && json["ID"].is_string();
  if (!has_id) {
    reason.Set(ConsulError::kInvalidResponse, "response has no session ID");
    return std::nullopt;
  }
  return Session{json["ID"].get<std::string>()};
}

std::optional<CasResult> ParseWriteResult(std::string_view body,
                                          LastReason<ConsulError>& reason) {
  const auto json = Json::parse(body, nullptr, false);
  if (!json.is_boolean()) {
    reason.Set(ConsulError::kInvalidResponse, "response is not a boolean");
    return std::nullopt;
  }
  return CasResult{json.get<bool>()};
}

}  // namespace cowslip::consul
