// Ranks the upstreams of a service for a flow and finds the flow's owner after
// a join, with the flow library alone.

#include <algorithm>
#include <iostream>

#include "cowslip/flow.h"

namespace {

using cowslip::Endpoint;
using cowslip::FlowKey;
using cowslip::TimePoint;
using cowslip::Upstream;
using cowslip::UpstreamId;
using cowslip::flow::WalkPlace;

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

void PrintWalk(const cowslip::flow::Ranking& ranking, TimePoint now) {
  const cowslip::flow::WalkWindow window{std::chrono::minutes(2),
                                         std::chrono::seconds(1)};
  std::vector<UpstreamId> asked;
  const auto* holder = ranking.order().front();
  const auto place = [&](const Upstream& upstream) {
    if (upstream.id == holder->id) return WalkPlace::kSelf;
    const bool passed =
        std::find(asked.begin(), asked.end(), upstream.id) != asked.end();
    return passed ? WalkPlace::kPassed : WalkPlace::kUnasked;
  };
  while (holder != nullptr) {
    std::cout << " " << Raw(holder->id);
    const auto* next = cowslip::flow::NextOnWalk(ranking.order(), window,
                                                 holder->joined, now, place);
    asked.push_back(holder->id);
    holder = next;
  }
  std::cout << "\n";
}

}  // namespace

int main() {
  const TimePoint now{std::chrono::hours(10)};
  auto upstreams = MakeUpstreams(now);
  const FlowKey flow{Endpoint{0x0a000001, 40000}, Endpoint{0x0a330065, 5683}};
  cowslip::flow::Ranking ranking;
  ranking.Build(upstreams, HashFlow(flow));
  std::cout << "asked in steady state:";
  PrintWalk(ranking, now);
  const auto first = ranking.order().front()->id;
  for (auto& upstream : upstreams) {
    if (upstream.id == first) upstream.joined = now - std::chrono::seconds(5);
  }
  ranking.Build(upstreams, HashFlow(flow));
  std::cout << "asked after a restart of upstream " << Raw(first) << ":";
  PrintWalk(ranking, now);
}
