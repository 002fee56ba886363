// Time and allocations of one placement of a connection, and of the estimates
// that acknowledgements carry.

#include <benchmark/benchmark.h>

#include <vector>

#include "allocation_count.h"
#include "cowslip/segment.h"

namespace {

using namespace cowslip;           // NOLINT(google-build-using-namespace)
using namespace cowslip::segment;  // NOLINT(google-build-using-namespace)

constexpr ServiceTag kService{7};
constexpr Endpoint kAddress{0x7f350001, 443};
const TimePoint kNow{std::chrono::hours(1)};

std::vector<Member> MakeMembers(std::uint32_t count,
                                std::uint64_t data_centers) {
  std::vector<Member> members;
  for (std::uint32_t i = 0; i < count; ++i) {
    members.push_back({i + 1, true, 1 + i % data_centers, kFrameVersion});
  }
  return members;
}

/// Lists the candidates of new flows.
/// Arguments: number of members, number of data centres.
void PlaceNewFlow(benchmark::State& state) {
  const auto count = static_cast<std::uint32_t>(state.range(0));
  SidecarStateTable sidecar_states;
  CandidateSelector selector(sidecar_states, /*data_center=*/1);
  selector.ReplaceMembers(
      kService, MakeMembers(count, static_cast<std::uint64_t>(state.range(1))),
      false, kNow);
  for (std::uint32_t i = 1; i <= count; ++i) {
    Ack ack;
    ack.open = true;
    ack.expected_wait_us = 10'000 + i % 97;
    sidecar_states.OnAck(i, ack, kNow);
  }
  std::uint64_t hash = 1;
  const auto allocations = AllocationCount();
  while (state.KeepRunning()) {
    SegmentFrame frame;
    frame.service = kService;
    hash = hash * 0x9E3779B97F4A7C15 + 1;
    benchmark::DoNotOptimize(selector.ListForNewFlow(
        hash, std::chrono::milliseconds(300), kNow, frame));
    sidecar_states.Reserve(frame.hops[0], kNow);
  }
  state.counters["allocations"] =
      benchmark::Counter(static_cast<double>(AllocationCount() - allocations),
                         benchmark::Counter::kAvgIterations);
}
BENCHMARK(PlaceNewFlow)
    ->Args({48, 1})
    ->Args({48, 3})
    ->Args({1000, 1})
    ->Args({1000, 3});

/// Computes what an acknowledgement says of the load.
/// Argument: requests in progress at an upstream of three slots.
void EstimateWait(benchmark::State& state) {
  LoadEstimator load;
  load.SetSlots(3);
  for (std::uint16_t port = 1; port <= 16; ++port) {
    for (int i = 0; i < 20; ++i) {
      const auto request = load.OnStarted(kNow, {kAddress.address, port});
      load.OnResponse(request, kNow + std::chrono::milliseconds(10 + i));
    }
  }
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    load.OnStarted(kNow, {kAddress.address, static_cast<std::uint16_t>(i + 1)});
  }
  auto now = kNow;
  const auto allocations = AllocationCount();
  while (state.KeepRunning()) {
    now += std::chrono::microseconds(1);
    benchmark::DoNotOptimize(load.ExpectedWait(now, kAddress));
    benchmark::DoNotOptimize(load.AnswerTime(now, kAddress));
  }
  state.counters["allocations"] =
      benchmark::Counter(static_cast<double>(AllocationCount() - allocations),
                         benchmark::Counter::kAvgIterations);
}
BENCHMARK(EstimateWait)->Arg(0)->Arg(3)->Arg(15);

/// Learns from a request and its response.
void LearnRequest(benchmark::State& state) {
  LoadEstimator load;
  load.SetSlots(3);
  auto now = kNow;
  while (state.KeepRunning()) {
    const auto request = load.OnStarted(now, kAddress);
    now += std::chrono::milliseconds(20);
    load.OnResponse(request, now);
  }
  using Services = cost::ServiceTable<cost::CostModel::Service>;
  constexpr auto kRows = Services::kMaxServices + 1;
  state.counters["model_bytes"] = static_cast<double>(
      sizeof(LoadEstimator) + kRows * sizeof(Services::Row));
}
BENCHMARK(LearnRequest);

}  // namespace

BENCHMARK_MAIN();
