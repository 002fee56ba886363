#include "cowslip/consul/store_url.h"

namespace cowslip::consul {
namespace {

constexpr std::string_view kUnreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
constexpr std::string_view kHexDigits = "0123456789ABCDEF";

}  // namespace

std::string PercentEncode(std::string_view text, std::string_view keep) {
  std::string encoded;
  for (const char c : text) {
    if (kUnreserved.find(c) != std::string_view::npos ||
        keep.find(c) != std::string_view::npos) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += kHexDigits[byte >> 4U];
    encoded += kHexDigits[byte & 15U];
  }
  return encoded;
}

StoreUrl StoreUrl::Key(std::string_view key) {
  return StoreUrl("/v1/kv/" + PercentEncode(key, "/"));
}

StoreUrl StoreUrl::Session(std::string_view operation, std::string_view id) {
  std::string text = "/v1/session/" + PercentEncode(operation);
  if (!id.empty()) text += "/" + PercentEncode(id);
  return StoreUrl(std::move(text));
}

StoreUrl& StoreUrl::Flag(std::string_view name) {
  text_ += has_query_ ? '&' : '?';
  has_query_ = true;
  text_ += PercentEncode(name);
  return *this;
}

StoreUrl& StoreUrl::Parameter(std::string_view name, std::string_view value) {
  Flag(name);
  text_ += "=" + PercentEncode(value);
  return *this;
}

StoreUrl& StoreUrl::Parameter(std::string_view name, std::uint64_t value) {
  return Parameter(name, std::to_string(value));
}

StoreUrl& StoreUrl::Blocking(std::uint64_t index,
                             std::chrono::milliseconds wait) {
  Parameter("index", index);
  return Parameter("wait", std::to_string(wait.count()) + "ms");
}

}  // namespace cowslip::consul
