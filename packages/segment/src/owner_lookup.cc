#include "cowslip/segment/owner_lookup.h"

#include <algorithm>
#include <bit>

namespace cowslip::segment {
namespace {

/// @return whether the lookup that asked still waits for the answer.
bool IsOpen(const OwnerQuestion& question, const PendingPackets& pending) {
  const auto found = pending.find(question.flow);
  return found != pending.end() && found->second.lookup == question.lookup &&
         found->second.stage == LookupStage::kQuerying;
}

/// @return the flows of a batch whose routes are known to have led to a
/// service.
std::uint64_t RoutedFlows(const OwnerQueryBatch& batch,
                          const RouteTable& routes, ServiceTag service) {
  std::uint64_t flows = 0;
  for (std::size_t i = 0; i < batch.questions.size(); ++i) {
    const auto* route = routes.Find(batch.questions[i].flow.service);
    if (route != nullptr && route->LeadsTo(service)) {
      flows |= std::uint64_t{1} << i;
    }
  }
  return flows;
}

/// Sorts the rows and joins those of a member that several services list.
void SortAndMerge(std::vector<OwnerQueryRow>& rows) {
  std::sort(rows.begin(), rows.end(),
            [](const auto& a, const auto& b) { return a.sidecar < b.sidecar; });
  std::size_t last = 0;
  for (std::size_t i = 1; i < rows.size(); ++i) {
    if (rows[i].sidecar == rows[last].sidecar) {
      rows[last].asked |= rows[i].asked;
      rows[last].routed |= rows[i].routed;
    } else {
      rows[++last] = rows[i];
    }
  }
  if (!rows.empty()) rows.resize(last + 1);
}

void AddRows(const LookupView& view, OwnerQueryBatch& batch) {
  auto& rows = batch.rows;
  view.members.ForEachService([&](ServiceTag tag, const auto& upstreams) {
    const auto routed = RoutedFlows(batch, view.routes, tag);
    const auto asked = batch.all_services ? batch.open : routed;
    if (asked == 0) return;
    for (const auto& upstream : upstreams) {
      OwnerQueryRow row;
      row.sidecar = Raw(upstream.id);
      row.asked = asked;
      row.routed = routed;
      rows.push_back(row);
    }
  });
  SortAndMerge(rows);
  for (std::size_t i = 0; i < batch.questions.size(); ++i) {
    const auto& question = batch.questions[i];
    for (std::size_t n = 0; n < question.answered_count; ++n) {
      auto* row = batch.Find(question.answered[n]);
      if (row != nullptr) row->asked &= ~(std::uint64_t{1} << i);
    }
  }
  std::erase_if(rows, [&](const OwnerQueryRow& row) {
    if (row.asked == 0) return true;
    if (!view.sidecar_states.IsUnresponsive(row.sidecar)) return false;
    batch.unresponsive |= row.asked;
    batch.unresponsive_member = row.sidecar;
    return true;
  });
}

/// @return a set of a reply, which numbers the flows of its query, as a set of
/// the batch.
std::uint64_t ToBatchFlows(std::uint64_t reply_set, std::uint64_t asked) {
  std::uint64_t flows = 0;
  for (; asked != 0; asked &= asked - 1, reply_set >>= 1) {
    if ((reply_set & 1) != 0) flows |= asked & ~(asked - 1);
  }
  return flows;
}

}  // namespace

void OwnerLookup::Ask(const OwnerQuestion& question) {
  (question.confirmation ? confirmations_ : new_questions_).push_back(question);
}

bool OwnerLookup::IsDue(TimePoint now) const {
  if (now - last_batch_at_ < kBatchInterval) return false;
  // The questions of each list become due in their order.
  const auto is_old = [&](const auto& questions) {
    return !questions.empty() && now - questions.front().due >= kBatchInterval;
  };
  if (is_old(new_questions_) || is_old(confirmations_)) return true;
  if (new_questions_.size() >= kMaxQueriedFlows) return true;
  return confirmations_.size() >= kMaxQueriedFlows &&
         confirmations_[kMaxQueriedFlows - 1].due <= now;
}

void OwnerLookup::TakeQuestions(std::deque<OwnerQuestion>& from,
                                const LookupView& view, TimePoint now,
                                OwnerQueryBatch& batch) const {
  while (!from.empty() && batch.questions.size() < kMaxQueriedFlows &&
         from.front().due <= now) {
    if (IsOpen(from.front(), view.pending)) {
      batch.questions.push_back(from.front());
    }
    from.pop_front();
  }
}

bool OwnerLookup::CoversNewQuestions(TimePoint now) {
  if (batches_.empty() && confirmations_.empty()) return true;
  // Rounds that are still to be asked: confirmations of what waits for replies
  // or is due, and the two rounds of the new questions.
  const auto rounds =
      batches_.size() +
      (confirmations_.size() + kMaxQueriedFlows - 1) / kMaxQueriedFlows + 2;
  return query_budget_.Has(static_cast<double>(rounds * last_row_count_), now);
}

void OwnerLookup::StartBatch(const LookupView& view, TimePoint now) {
  OwnerQueryBatch batch;
  TakeQuestions(confirmations_, view, now, batch);
  if (CoversNewQuestions(now)) TakeQuestions(new_questions_, view, now, batch);
  if (batch.questions.empty()) return;
  batch.number = next_number_++;
  batch.started = now;
  batch.config = view.routes.version;
  batch.all_services = !view.knows_former_services;
  for (std::size_t i = 0; i < batch.questions.size(); ++i) {
    const std::uint64_t bit = std::uint64_t{1} << i;
    batch.open |= bit;
    const auto& address = batch.questions[i].flow.service;
    if (view.routes.Find(address) == nullptr) batch.unrouted |= bit;
  }
  AddRows(view, batch);
  for (auto& row : batch.rows) {
    if (silent_.IsSilent(row.sidecar, now)) {
      row.state = OwnerQueryState::kSilent;
    } else {
      ++batch.rows_to_wait_for;
    }
  }
  last_row_count_ = batch.rows.size();
  last_batch_at_ = now;
  batches_.push_back(std::move(batch));
}

bool OwnerLookup::WasJustAsked(InstanceAddress sidecar, TimePoint now) const {
  const auto found = last_sent_.find(sidecar);
  return found != last_sent_.end() && now - found->second < kBatchInterval;
}

void OwnerLookup::Send(OwnerQueryBatch& batch, OwnerQueryRow& row,
                       TimePoint now, Outbox& out) {
  row.state = OwnerQueryState::kSent;
  row.sent_at = now;
  last_sent_[row.sidecar] = now;
  ++outstanding_;
  ++stats_->owner_queries;
  stats_->owner_query_flows +=
      static_cast<std::uint64_t>(std::popcount(row.asked));
  out.SendOwnerQuery(row.sidecar, batch.QueryFor(row));
}

void OwnerLookup::SendUnsent(TimePoint now, Outbox& out) {
  for (auto& batch : batches_) {
    bool all_sent = true;
    for (auto i = batch.next_unsent; i < batch.rows.size(); ++i) {
      auto& row = batch.rows[i];
      if (row.state == OwnerQueryState::kUnsent) {
        if (outstanding_ >= kMaxOutstanding) return;
        if (WasJustAsked(row.sidecar, now)) {
          all_sent = false;
          continue;
        }
        if (!query_budget_.TryTake(now)) return;
        retry_budget_.OnFirstTransmission();
        Send(batch, row, now, out);
      }
      if (all_sent) batch.next_unsent = i + 1;
    }
  }
}

/// Sends queries without a reply once more; after that, the member counts as
/// one that gave no answer.
void OwnerLookup::HandleTimeouts(TimePoint now, Outbox& out) {
  for (auto& batch : batches_) {
    for (auto& row : batch.rows) {
      if (row.state != OwnerQueryState::kSent) continue;
      if (now - row.sent_at < round_trips_->Timeout(row.repeated ? 1 : 0)) {
        continue;
      }
      if (!row.repeated && WasJustAsked(row.sidecar, now)) continue;
      --outstanding_;
      if (!row.repeated && retry_budget_.TryTake(now)) {
        row.repeated = true;
        Send(batch, row, now, out);
        continue;
      }
      row.state = OwnerQueryState::kSilent;
      --batch.rows_to_wait_for;
      silent_.OnUnanswered(row.sidecar, now);
    }
  }
}

void OwnerLookup::OnReply(InstanceAddress sidecar, const OwnerReply& reply,
                          TimePoint now, Outbox& out,
                          std::vector<OwnerAnswer>& answers) {
  ++stats_->owner_replies;
  silent_.OnReply(sidecar);
  const auto batch = std::find_if(
      batches_.begin(), batches_.end(),
      [&](const auto& each) { return each.number == reply.number; });
  if (batch == batches_.end()) return;
  auto* row = batch->Find(sidecar);
  if (row == nullptr || reply.flow_count != std::popcount(row->asked)) return;
  // A reply that comes after the timeouts still counts, as the batch is open.
  const bool in_time = row->state == OwnerQueryState::kSent;
  const bool late =
      row->state == OwnerQueryState::kSilent && row->sent_at != TimePoint{};
  if (!in_time && !late) return;
  if (in_time) {
    --outstanding_;
    --batch->rows_to_wait_for;
    if (!row->repeated) round_trips_->OnSample(now - row->sent_at);
  }
  row->state = OwnerQueryState::kAnswered;
  row->not_owned = ToBatchFlows(reply.not_owned, row->asked);
  auto owned = ToBatchFlows(reply.owned, row->asked) & batch->open;
  batch->open &= ~owned;
  for (; owned != 0; owned &= owned - 1) {
    auto answer =
        batch->MakeAnswer(static_cast<std::size_t>(std::countr_zero(owned)));
    answer.owner = sidecar;
    answers.push_back(std::move(answer));
  }
  EndCompleteBatches(now, answers);
  SendUnsent(now, out);
}

void OwnerLookup::EndCompleteBatches(TimePoint now,
                                     std::vector<OwnerAnswer>& answers) {
  for (auto batch = batches_.begin(); batch != batches_.end();) {
    const bool expired = now - batch->started >= kBatchLifetime;
    if (batch->rows_to_wait_for > 0 && batch->open != 0 && !expired) {
      ++batch;
      continue;
    }
    for (const auto& row : batch->rows) {
      if (row.state == OwnerQueryState::kSent) --outstanding_;
    }
    LogBatch(*batch);
    if (batch->rows_to_wait_for == 0) {
      for (std::size_t i = 0; i < batch->questions.size(); ++i) {
        if ((batch->open >> i & 1) != 0) answers.push_back(batch->AnswerOf(i));
      }
    }
    batch = batches_.erase(batch);
  }
  if (!active()) last_sent_.clear();
}

/// One line for each batch: how many members left it without an answer, and one
/// of these.
void OwnerLookup::LogBatch(const OwnerQueryBatch& batch) const {
  std::uint32_t count = 0;
  InstanceAddress member = 0;
  std::string_view reason = "answered_by_all";
  for (const auto& row : batch.rows) {
    if ((row.undecided() & batch.open) == 0) continue;
    ++count;
    member = row.sidecar;
    reason = row.state == OwnerQueryState::kAnswered ? "member_undecided"
                                                     : "member_silent";
  }
  if (batch.unresponsive != 0) {
    member = batch.unresponsive_member;
    reason = "member_unresponsive";
  }
  observer_->OnDecision({"ask_members", reason, batch.questions.front().flow,
                         member, batch.config, count, 0});
}

void OwnerLookup::Advance(const LookupView& view, TimePoint now, Outbox& out,
                          std::vector<OwnerAnswer>& answers) {
  HandleTimeouts(now, out);
  // One batch after the other, so that one which the limits hold back does not
  // share them with later ones.
  const bool is_sending = std::any_of(
      batches_.begin(), batches_.end(),
      [](const auto& batch) { return batch.next_unsent < batch.rows.size(); });
  if (!is_sending && IsDue(now)) StartBatch(view, now);
  SendUnsent(now, out);
  EndCompleteBatches(now, answers);
}

void OwnerLookup::Clear() {
  new_questions_.clear();
  confirmations_.clear();
  batches_.clear();
  last_sent_.clear();
  outstanding_ = 0;
}

}  // namespace cowslip::segment
