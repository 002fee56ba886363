#include "cowslip/segment/owner_query_batch.h"

#include <algorithm>

namespace cowslip::segment {

OwnerQueryRow* OwnerQueryBatch::Find(InstanceAddress sidecar) {
  const auto found = std::lower_bound(
      rows.begin(), rows.end(), sidecar,
      [](const auto& row, auto address) { return row.sidecar < address; });
  if (found == rows.end() || found->sidecar != sidecar) return nullptr;
  return &*found;
}

OwnerQuery OwnerQueryBatch::QueryFor(const OwnerQueryRow& row) const {
  OwnerQuery query;
  query.number = number;
  query.config = config;
  for (std::size_t i = 0; i < questions.size(); ++i) {
    const std::uint64_t bit = std::uint64_t{1} << i;
    if ((row.asked & bit) == 0) continue;
    query.Add(
        {questions[i].flow, questions[i].caller_ack, (row.routed & bit) != 0});
  }
  return query;
}

OwnerAnswer OwnerQueryBatch::MakeAnswer(std::size_t index) const {
  OwnerAnswer answer;
  answer.flow = questions[index].flow;
  answer.lookup = questions[index].lookup;
  answer.config = config;
  answer.all_services = all_services;
  return answer;
}

OwnerAnswer OwnerQueryBatch::AnswerOf(std::size_t index) const {
  auto answer = MakeAnswer(index);
  const std::uint64_t bit = std::uint64_t{1} << index;
  if ((unresponsive & bit) != 0) answer.uncertainty = "member_unresponsive";
  if ((unrouted & bit) != 0) answer.uncertainty = "no_route";
  if (rows.empty()) return answer;
  // Starts elsewhere for each flow, so that not all visit the same members
  // first.
  const auto first = HashFlow(answer.flow) % rows.size();
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const auto& row = rows[(first + i) % rows.size()];
    if ((row.undecided() & bit) == 0) continue;
    const bool routed = (row.routed & bit) != 0;
    auto& list = routed ? answer.undecided : answer.undecided_elsewhere;
    const bool can_be_visited = routed || row.state == OwnerQueryState::kSilent;
    if (can_be_visited && list.size() < OwnerAnswer::kMaxUndecided) {
      list.push_back(row.sidecar);
    } else if (answer.uncertainty.empty()) {
      answer.uncertainty = "member_undecided";
    }
  }
  return answer;
}

}  // namespace cowslip::segment
