#include "experiments/wait_trace.h"

#include <algorithm>
#include <cstdio>

namespace cowslip::experiments {
namespace {

constexpr std::array kNames{"slot unused", "slot reserved", "longer queue",
                            "all in use", "no permit seen"};

std::size_t Index(WaitCause cause) { return static_cast<std::size_t>(cause); }

/// @return requests ahead of a further one, per unit of the upstream's speed.
double RelativeWait(const WaitTrace::UpstreamState& upstream) {
  const auto load = upstream.in_progress + upstream.reserved;
  if (load < upstream.slots) return 0;
  return (load - upstream.slots + 1) / (upstream.slots * upstream.speed);
}

}  // namespace

WaitCause WaitTrace::Classify(const std::vector<UpstreamState>& upstreams,
                              std::size_t chosen) {
  bool reserved = false;
  bool longer = false;
  for (const auto& upstream : upstreams) {
    if (upstream.in_progress + upstream.reserved < upstream.slots) {
      return WaitCause::kSlotUnused;
    }
    reserved |= upstream.in_progress < upstream.slots;
    longer |= RelativeWait(upstream) < RelativeWait(upstreams[chosen]);
  }
  if (reserved) return WaitCause::kSlotReserved;
  return longer ? WaitCause::kLongerQueue : WaitCause::kAllInUse;
}

void WaitTrace::Add(WaitCause cause, Duration wait) {
  if (wait > Duration{}) waits_[Index(cause)].push_back(wait);
}

std::uint64_t WaitTrace::Count(WaitCause cause, Duration over) const {
  const auto& waits = waits_[Index(cause)];
  return static_cast<std::uint64_t>(std::count_if(
      waits.begin(), waits.end(), [&](Duration wait) { return wait > over; }));
}

std::string WaitTrace::Table() const {
  std::string table =
      "requests by wait in ms     <=2    <=4    <=8   <=16    >16\n";
  for (std::size_t cause = 0; cause < waits_.size(); ++cause) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "  %-20s", kNames[cause]);
    table += text.data();
    auto rest = Count(WaitCause(cause));
    for (const auto limit : kLimitsMs) {
      const auto over =
          Count(WaitCause(cause), std::chrono::milliseconds(limit));
      std::snprintf(text.data(), text.size(), " %6llu",
                    static_cast<unsigned long long>(rest - over));
      table += text.data();
      rest = over;
    }
    std::snprintf(text.data(), text.size(), " %6llu\n",
                  static_cast<unsigned long long>(rest));
    table += text.data();
  }
  return table;
}

}  // namespace cowslip::experiments
