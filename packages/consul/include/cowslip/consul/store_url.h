#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace cowslip::consul {

/// Builds the path and query of a store request.
class StoreUrl {
 public:
  /// @return the URL of a key below /v1/kv/.
  static StoreUrl Key(std::string_view key);
  /// @param operation "create", "renew" or "destroy".
  /// @param id of the session, empty for "create".
  static StoreUrl Session(std::string_view operation, std::string_view id);

  /// Appends a query parameter without a value.
  StoreUrl& Flag(std::string_view name);
  /// Appends a query parameter.
  StoreUrl& Parameter(std::string_view name, std::string_view value);
  StoreUrl& Parameter(std::string_view name, std::uint64_t value);
  /// Appends the parameters of a blocking query.
  StoreUrl& Blocking(std::uint64_t index, std::chrono::milliseconds wait);

  /// @return path and query, percent-encoded.
  const std::string& text() const { return text_; }

 private:
  explicit StoreUrl(std::string text) : text_(std::move(text)) {}

  std::string text_;
  bool has_query_ = false;
};

/// Percent-encodes all but the unreserved characters of RFC 3986.
/// @param keep further characters that are not encoded.
std::string PercentEncode(std::string_view text, std::string_view keep = {});

}  // namespace cowslip::consul
