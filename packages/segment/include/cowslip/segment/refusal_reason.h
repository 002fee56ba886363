#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace cowslip::segment {

/// Why a balancer resets a SYN that has run nowhere.
enum class RefusalReason : std::uint8_t {
  kNoRoute,         ///< No route leads from its address.
  kNoMember,        ///< The service has no members.
  kNoAnswerInTime,  ///< No upstream could answer before the time limit.
  kEvacuated,       ///< All visited data centres are evacuated.
};

inline constexpr std::array kRefusalReasons{
    RefusalReason::kNoRoute, RefusalReason::kNoMember,
    RefusalReason::kNoAnswerInTime, RefusalReason::kEvacuated};

/// @return the name in log lines and metrics.
constexpr std::string_view ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoRoute:
      return "no_route";
    case RefusalReason::kNoMember:
      return "no_member";
    case RefusalReason::kNoAnswerInTime:
      return "no_answer_in_time";
    case RefusalReason::kEvacuated:
      return "evacuated";
  }
  return "unknown";
}

}  // namespace cowslip::segment
