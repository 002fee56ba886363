#include "cowslip/ticket/ticket_keys.h"

#include <charconv>

namespace cowslip::ticket {
namespace {

constexpr std::string_view kPrefix = "cowslip/tickets/";
constexpr std::string_view kSnapshot = "cowslip/snapshot";
constexpr std::size_t kDigits = 10;

}  // namespace

std::string_view TicketPrefix() { return kPrefix; }

std::string_view SnapshotKey() { return kSnapshot; }

std::string TicketKey(TicketNumber number) {
  auto digits = std::to_string(Raw(number));
  if (digits.size() < kDigits) digits.insert(0, kDigits - digits.size(), '0');
  return std::string(kPrefix) + digits;
}

std::optional<TicketNumber> ParseTicketKey(std::string_view key) {
  if (!key.starts_with(kPrefix)) return std::nullopt;
  const auto digits = key.substr(kPrefix.size());
  std::uint64_t number = 0;
  const auto* last = digits.data() + digits.size();
  const auto [end, error] = std::from_chars(digits.data(), last, number);
  if (error != std::errc{} || end != last) return std::nullopt;
  return TicketNumber(number);
}

}  // namespace cowslip::ticket
