// Time and memory of the comparison of members by their responses, and of the
// statistics that they report.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <vector>

#include "cowslip/segment.h"

namespace {

using namespace cowslip;           // NOLINT(google-build-using-namespace)
using namespace cowslip::outlier;  // NOLINT(google-build-using-namespace)

constexpr Endpoint kAddress{0x7f350001, 443};
const TimePoint kNow{std::chrono::hours(1)};

ResponseReport MakeReport(std::uint32_t member) {
  ResponseReport report;
  report.failure_share = member % 40 == 0 ? 0.3 : 0.0;
  report.response_time = std::chrono::milliseconds(30 + member % 17);
  return report;
}

/// Compares the members of a service. Argument: number of members.
void CompareMembers(benchmark::State& state) {
  const auto count = static_cast<std::uint32_t>(state.range(0));
  std::vector<MemberId> members;
  for (std::uint32_t i = 0; i < count; ++i) members.push_back(MemberId{i});
  const auto before = mallinfo2().uordblks;
  OutlierDetector detector;
  for (const auto member : members) {
    detector.OnReport(member, kAddress,
                      MakeReport(static_cast<std::uint32_t>(member)), kNow);
  }
  state.counters["bytes_of_a_member"] =
      static_cast<double>(mallinfo2().uordblks - before) / count;
  while (state.KeepRunning()) {
    detector.Evaluate(members, kNow);
    benchmark::DoNotOptimize(detector.outliers());
  }
}
BENCHMARK(CompareMembers)->Arg(7)->Arg(48)->Arg(1000)->Arg(49'000);

/// Handles a report. Argument: number of members that report.
void HandleReport(benchmark::State& state) {
  const auto count = static_cast<std::uint32_t>(state.range(0));
  OutlierDetector detector;
  std::uint32_t next = 0;
  while (state.KeepRunning()) {
    const auto member = ++next % count;
    detector.OnReport(MemberId{member}, kAddress, MakeReport(member), kNow);
  }
}
BENCHMARK(HandleReport)->Arg(48)->Arg(49'000);

/// Follows a request and its response in a sidecar, and reports.
void FollowRequest(benchmark::State& state) {
  segment::ResponseMonitor monitor;
  segment::LoadEstimator load;
  load.SetSlots(3);
  segment::FlowEntry entry;
  segment::Segment response;
  response.flow = {{0x64400001, 1}, kAddress};
  response.length = 600;
  auto now = kNow;
  while (state.KeepRunning()) {
    entry.request = load.OnStarted(now, kAddress);
    monitor.OnStarted(response.flow, {}, now);
    now += std::chrono::milliseconds(20);
    monitor.OnUpstreamPacket(entry, response, load, now);
    load.OnResponse(entry.request, now);
    monitor.OnFlowEnded(response.flow, now);
    benchmark::DoNotOptimize(monitor.Report(kAddress, now));
  }
  state.counters["bytes"] = sizeof(segment::ResponseMonitor);
}
BENCHMARK(FollowRequest);

}  // namespace

BENCHMARK_MAIN();
