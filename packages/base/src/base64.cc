#include "cowslip/base/base64.h"

#include <array>
#include <cstdint>

namespace cowslip {
namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t kBytesPerGroup = 3;
constexpr std::size_t kDigitsPerGroup = 4;

constexpr std::uint8_t kNoDigit = 255;

/// @return a table of the values of all characters, kNoDigit for those that are
///     no base64 digits.
constexpr std::array<std::uint8_t, 256> MakeDigits() {
  std::array<std::uint8_t, 256> digits{};
  for (auto& digit : digits) digit = kNoDigit;
  for (std::size_t i = 0; i < kAlphabet.size(); ++i) {
    digits[static_cast<std::uint8_t>(kAlphabet[i])] =
        static_cast<std::uint8_t>(i);
  }
  return digits;
}

constexpr auto kDigits = MakeDigits();

void AppendGroup(std::string_view bytes, std::string& text) {
  std::uint32_t bits = 0;
  for (std::size_t i = 0; i < kBytesPerGroup; ++i) {
    const auto byte =
        i < bytes.size() ? static_cast<std::uint8_t>(bytes[i]) : 0U;
    bits = (bits << 8U) | byte;
  }
  for (std::size_t i = 0; i < kDigitsPerGroup; ++i) {
    const auto digit = (bits >> (18U - 6U * i)) & 63U;
    text += i <= bytes.size() ? kAlphabet[digit] : '=';
  }
}

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() + 2) / kBytesPerGroup * kDigitsPerGroup);
  for (std::size_t offset = 0; offset < bytes.size();
       offset += kBytesPerGroup) {
    AppendGroup(bytes.substr(offset, kBytesPerGroup), text);
  }
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % kDigitsPerGroup != 0) return std::nullopt;
  std::string bytes;
  bytes.reserve(text.size() / kDigitsPerGroup * kBytesPerGroup);
  auto digits = text;
  while (!digits.empty() && digits.back() == '=') digits.remove_suffix(1);
  if (text.size() - digits.size() > 2) return std::nullopt;
  std::uint32_t bits = 0;
  unsigned bit_count = 0;
  for (const char digit : digits) {
    const auto value = kDigits[static_cast<std::uint8_t>(digit)];
    if (value == kNoDigit) return std::nullopt;
    bits = (bits << 6U) | value;
    bit_count += 6;
    if (bit_count < 8) continue;
    bit_count -= 8;
    bytes += static_cast<char>((bits >> bit_count) & 255U);
  }
  const bool has_stray_bits = (bits & ((1U << bit_count) - 1U)) != 0;
  if (has_stray_bits) return std::nullopt;
  return bytes;
}

}  // namespace cowslip
