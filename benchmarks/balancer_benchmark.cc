// Time and allocations of one routing decision of a balancer, with a hint for
// the flow and without (by rank).

#include <benchmark/benchmark.h>

#include <random>

#include "allocation_count.h"
#include "cowslip/engine.h"
#include "tests/support/sample_view.h"

namespace {

using namespace cowslip;  // NOLINT(google-build-using-namespace)

constexpr Endpoint kService{0x7f350001, 5683};

FlowKey MakeKey(std::uint32_t flow) {
  return {
      {0x0a000000 + flow / 50'000, static_cast<std::uint16_t>(flow % 50'000)},
      kService};
}

engine::Balancer MakeBalancer(std::uint32_t members) {
  LastReason<engine::EngineError> reason;
  engine::BalancerOptions options;
  options.id = BalancerId(1);
  auto balancer = engine::Balancer::Create(options, reason);
  balancer->OnView(testing::MakeSampleView(kService, members));
  return std::move(*balancer);
}

void AddHint(engine::Balancer& balancer, const FlowKey& key,
             UpstreamId upstream, TimePoint now,
             engine::BalancerEffects& effects) {
  link::Frame reply;
  reply.header.kind = link::FrameKind::kReply;
  reply.header.service = ServiceId(1);
  reply.header.ticket = TicketNumber(1);
  reply.header.sender = Raw(upstream);
  reply.header.flow = key;
  balancer.OnFrame(reply, {}, now, effects);
  effects.Clear();
}

/// Routes datagrams of random flows.
/// Arguments: number of flows, number of upstreams, and whether the balancer
/// has a hint for each flow.
void BalancerDecision(benchmark::State& state) {
  const auto flows = static_cast<std::uint32_t>(state.range(0));
  const auto members = static_cast<std::uint32_t>(state.range(1));
  auto balancer = MakeBalancer(members);
  engine::BalancerEffects effects;
  const auto now = TimePoint(std::chrono::hours(1));
  if (state.range(2) != 0) {
    for (std::uint32_t i = 0; i < flows; ++i) {
      AddHint(balancer, MakeKey(i), UpstreamId(1 + i % members), now, effects);
    }
  }
  std::mt19937 random(1);
  std::vector<FlowKey> keys;
  for (std::uint32_t i = 0; i < flows; ++i) {
    keys.push_back(MakeKey(random() % flows));
  }
  const std::array<std::uint8_t, 64> payload{};
  balancer.OnCallerDatagram({keys[0], payload}, now, effects);
  effects.Clear();
  std::size_t next = 0;
  const auto before = AllocationCount();
  while (state.KeepRunning()) {
    balancer.OnCallerDatagram({keys[next], payload}, now, effects);
    benchmark::DoNotOptimize(effects.frames.data());
    effects.Clear();
    if (++next == keys.size()) next = 0;
  }
  state.counters["allocations"] =
      static_cast<double>(AllocationCount() - before);
}
BENCHMARK(BalancerDecision)
    ->ArgNames({"flows", "members", "hinted"})
    ->Args({300'000, 7, 1})
    ->Args({300'000, 7, 0})
    ->Args({300'000, 100, 1})
    ->Args({300'000, 100, 0});

}  // namespace

BENCHMARK_MAIN();
