// Time of the decisions of a sidecar with and without the limit of an upstream
// that warms up.

#include <benchmark/benchmark.h>

#include "cowslip/scheduling.h"

namespace {

using namespace cowslip;              // NOLINT(google-build-using-namespace)
using namespace cowslip::scheduling;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow{std::chrono::hours(1)};
const RequestTerms kTerms{1, milliseconds(300), milliseconds(2000)};

FlowKey MakeFlow(std::uint32_t number) {
  return {{0x64400001 + number, 40'000}, {0xC6120001, 443}};
}

/// A scheduler that has given as many requests as its limit permits.
RequestScheduler MakeScheduler(std::uint32_t limit) {
  RequestScheduler scheduler;
  scheduler.SetSlots(2);
  auto& warm_up = scheduler.warm_up();
  warm_up.OnLimit(1, RequestRate::FromPerSecond(limit));
  warm_up.OnReport({milliseconds(1), seconds(10), true}, kNow);
  for (std::uint32_t i = 0; i < limit; ++i) warm_up.OnGiven(kNow);
  return scheduler;
}

/// Gives a request each time that one leaves the window.
/// Argument: the limit.
void GiveRequest(benchmark::State& state) {
  const auto limit = static_cast<std::uint32_t>(state.range(0));
  auto scheduler = MakeScheduler(limit);
  auto& warm_up = scheduler.warm_up();
  auto now = kNow;
  while (state.KeepRunning()) {
    warm_up.OnReport({milliseconds(1), seconds(10), false}, now);
    now += warm_up.Wait(now);
    warm_up.OnGiven(now);
  }
}
BENCHMARK(GiveRequest)->Arg(20)->Arg(10'000);

/// Forecasts the place of a SYN behind the requests that wait.
/// Arguments: the limit, 0 for none; the requests that wait.
void Forecast(benchmark::State& state) {
  auto scheduler = MakeScheduler(static_cast<std::uint32_t>(state.range(0)));
  for (std::uint32_t i = 0; i < state.range(1); ++i) {
    scheduler.Announce(MakeFlow(i), kTerms, kNow, kNow);
  }
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(
        scheduler.Forecast(kTerms, kNow, kNow, milliseconds(40)));
  }
}
BENCHMARK(Forecast)->Args({0, 8})->Args({20, 8})->Args({0, 256})->Args({20,
                                                                        256});

}  // namespace

BENCHMARK_MAIN();
