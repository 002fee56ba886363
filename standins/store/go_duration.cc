#include "standins/store/go_duration.h"

#include <charconv>

namespace cowslip::standin {
namespace {

using std::chrono::milliseconds;

std::optional<milliseconds> ParseUnit(std::string_view unit) {
  if (unit == "ms") return milliseconds(1);
  if (unit == "s" || unit.empty()) return std::chrono::seconds(1);
  if (unit == "m") return std::chrono::minutes(1);
  if (unit == "h") return std::chrono::hours(1);
  return std::nullopt;
}

}  // namespace

std::optional<milliseconds> ParseGoDuration(std::string_view text) {
  if (text.empty()) return std::nullopt;
  milliseconds total{0};
  while (!text.empty()) {
    std::int64_t count = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc{} || count < 0) return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    const auto unit_length =
        std::min(text.find_first_of("0123456789"), text.size());
    const auto unit = ParseUnit(text.substr(0, unit_length));
    if (!unit) return std::nullopt;
    total += *unit * count;
    text.remove_prefix(unit_length);
  }
  return total;
}

}  // namespace cowslip::standin
