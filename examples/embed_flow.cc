// Example of the flow library: ranks the upstreams of a service for a flow, and
// finds the next target of an owner lookup after a join.

#include <iostream>

#include "cowslip/flow.h"

namespace {

using cowslip::Endpoint;
using cowslip::FlowKey;
using cowslip::TimePoint;
using cowslip::Upstream;
using cowslip::UpstreamId;
using cowslip::flow::LookupState;

std::vector<Upstream> MakeUpstreams(TimePoint now) {
  std::vector<Upstream> upstreams;
  for (std::uint32_t i = 1; i <= 5; ++i) {
    Upstream upstream;
    upstream.id = UpstreamId(i);
    upstream.joined = now - std::chrono::hours(1);
    upstreams.push_back(upstream);
  }
  return upstreams;
}

/// Prints the upstream to which the sidecar of the first-ranked upstream sends
/// its owner lookup. The sidecar there decides whether the lookup continues.
void PrintNext(const cowslip::flow::Ranking& ranking, TimePoint now) {
  const cowslip::flow::LookupLimits limits{std::chrono::minutes(2),
                                           std::chrono::seconds(1)};
  const auto& self = *ranking.order().front();
  const auto state_of = [&](const Upstream& upstream) {
    return upstream.id == self.id ? LookupState::kSelf
                                  : LookupState::kUnvisited;
  };
  const auto* next = cowslip::flow::NextLookupTarget(
      ranking.order(), limits, self.joined, now, state_of);
  std::cout << (next == nullptr ? "none" : std::to_string(Raw(next->id)))
            << "\n";
}

}  // namespace

int main() {
  const TimePoint now{std::chrono::hours(10)};
  auto upstreams = MakeUpstreams(now);
  const FlowKey flow{Endpoint{0x0a000001, 40000}, Endpoint{0x0a330065, 5683}};
  cowslip::flow::Ranking ranking;
  ranking.Build(upstreams, HashFlow(flow));
  std::cout << "next lookup target in steady state: ";
  PrintNext(ranking, now);
  const auto first = ranking.order().front()->id;
  for (auto& upstream : upstreams) {
    if (upstream.id == first) upstream.joined = now - std::chrono::seconds(5);
  }
  ranking.Build(upstreams, HashFlow(flow));
  std::cout << "next lookup target after a restart of upstream " << Raw(first)
            << ": ";
  PrintNext(ranking, now);
}
