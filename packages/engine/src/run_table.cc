#include "cowslip/engine/run_table.h"

namespace cowslip::engine {

void RunTable::Add(Run run) {
  run.request.payload.clear();
  Key key{run.slot, run.request.token};
  runs_.insert_or_assign(std::move(key), std::move(run));
}

bool RunTable::IsRunning(flow::FlowSlot slot, std::uint16_t message_id) const {
  for (auto run = runs_.lower_bound({slot, {}});
       run != runs_.end() && run->first.first == slot; ++run) {
    if (run->second.request.message_id == message_id) return true;
  }
  return false;
}

std::optional<RunTable::Run> RunTable::Take(flow::FlowSlot slot,
                                            const Bytes& token) {
  auto node = runs_.extract({slot, token});
  if (node.empty()) return std::nullopt;
  return std::move(node.mapped());
}

std::vector<RunTable::Run> RunTable::TakeOverdue(TimePoint now) {
  std::vector<Run> overdue;
  for (auto it = runs_.begin(); it != runs_.end();) {
    if (it->second.deadline > now) {
      ++it;
      continue;
    }
    overdue.push_back(std::move(it->second));
    it = runs_.erase(it);
  }
  return overdue;
}

std::vector<RunTable::Run> RunTable::TakeAll(flow::FlowSlot slot) {
  std::vector<Run> taken;
  const auto first = runs_.lower_bound({slot, {}});
  auto last = first;
  for (; last != runs_.end() && last->first.first == slot; ++last) {
    taken.push_back(std::move(last->second));
  }
  runs_.erase(first, last);
  return taken;
}

bool RunTable::HasRunOf(flow::FlowSlot slot) const {
  const auto found = runs_.lower_bound({slot, {}});
  return found != runs_.end() && found->first.first == slot;
}

}  // namespace cowslip::engine
