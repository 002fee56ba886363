#include "cowslip/peers/evacuation_exchange.h"

#include <algorithm>

namespace cowslip::peers {
namespace {

/// First interval of queries, that of hello messages; it doubles up to the
/// interval of heartbeats.
constexpr std::chrono::milliseconds kFirstQueryInterval{60};
constexpr std::chrono::milliseconds kLastQueryInterval{300};
constexpr int kMaxDoublings = 3;
/// Time after which queries are sent as hello messages, too: balancers of
/// earlier builds answer only these.
constexpr std::chrono::milliseconds kHelloDelay{180};

}  // namespace

bool EvacuationExchange::IsConfirmed(TimePoint now) const {
  if (confirmed_) return true;
  return balancer_ && known_since_ && now - *known_since_ >= kConfirmTime;
}

void EvacuationExchange::NoteKnown(TimePoint now) {
  if (state_.known() && !known_since_) known_since_ = now;
}

void EvacuationExchange::OnStored(const EvacuationSnapshot& stored,
                                  bool current, TimePoint now) {
  state_.OnStored(stored, now);
  NoteKnown(now);
  if (!current) return;
  confirmed_ = true;
  resumed_ = false;
}

void EvacuationExchange::OnReportOfBalancer(const EvacuationReport& report) {
  if (!report.state || report.names_omitted || !report.confirmed) return;
  // Messages that waited through the suspension don't answer its query.
  if (resumed_ && report.answer != query_) return;
  confirmed_ = true;
  resumed_ = false;
}

EvacuationResponse EvacuationExchange::OnMessage(
    InstanceAddress sender, bool from_balancer, bool has_config,
    const std::optional<EvacuationReport>& report, TimePoint now) {
  if (!report) {
    if (!from_balancer || !has_config) return EvacuationResponse::kNone;
    has_earlier_build_ = true;
    // Among builds that have evacuations and some that have none, the former
    // get the time to answer. What waited through a suspension is handled at
    // the time of its end, and is no answer.
    const bool counts =
        known_since_ ? now - *known_since_ >= kConfirmTime : now > resumed_at_;
    if (counts) {
      resumed_ = false;
      confirmed_ |= state_.known();
    }
    return EvacuationResponse::kNone;
  }
  // What an instance knows that was suspended, or has just started, may be
  // older than what this one has acted upon without having been told so.
  if (report->confirmed || !IsConfirmed(now)) {
    state_.OnReport(*report, now);
    NoteKnown(now);
  }
  if (from_balancer) OnReportOfBalancer(*report);
  if (state_.IsSurpassedBy(*report)) {
    return MayReply(sender, now) ? EvacuationResponse::kQuery
                                 : EvacuationResponse::kNone;
  }
  const bool asked = report->query != 0;
  if (asked && !IsConfirmed(now) && waiting_.size() < kMaxWaiting) {
    waiting_[sender] = report->query;
  }
  if (!state_.known()) return EvacuationResponse::kNone;
  if (!asked && !state_.Surpasses(*report, now)) {
    return EvacuationResponse::kNone;
  }
  return MayReply(sender, now) ? EvacuationResponse::kState
                               : EvacuationResponse::kNone;
}

bool EvacuationExchange::MayReply(InstanceAddress to, TimePoint now) {
  if (replied_at_.size() >= kMaxReplied) {
    std::erase_if(replied_at_, [now](const auto& replied) {
      return now - replied.second >= kReplyInterval;
    });
  }
  const auto found = replied_at_.find(to);
  const bool is_due =
      found == replied_at_.end() || now - found->second >= kReplyInterval;
  if (!is_due || replied_at_.size() > kMaxReplied) return false;
  if (!reply_budget_.TryTake(now)) return false;
  replied_at_[to] = now;
  return true;
}

std::vector<std::pair<InstanceAddress, std::uint32_t>>
EvacuationExchange::TakeWaiting(TimePoint now) {
  std::vector<std::pair<InstanceAddress, std::uint32_t>> waiting;
  if (waiting_.empty() || !state_.known() || !IsConfirmed(now)) return waiting;
  for (const auto& [instance, query] : waiting_) {
    if (MayReply(instance, now)) waiting.emplace_back(instance, query);
  }
  waiting_.clear();
  return waiting;
}

void EvacuationExchange::OnResume(TimePoint now) {
  resumed_at_ = now;
  queries_ = 0;
  if (known_since_) known_since_ = now;
  confirmed_ = false;
  resumed_ = true;
  if (++query_ == 0) query_ = 1;
}

EvacuationReport EvacuationExchange::Report(TimePoint now) const {
  auto report = state_.Report(now);
  report.confirmed = state_.known() && IsConfirmed(now);
  if (NeedsAnswer(now)) report.query = query_;
  return report;
}

bool EvacuationExchange::NeedsAnswer(TimePoint now) const {
  if (resumed_) return !IsConfirmed(now);
  if (state_.known()) return !IsConfirmed(now);
  return !has_earlier_build_;
}

std::chrono::milliseconds EvacuationExchange::QueryInterval() const {
  if (balancer_) return kLastQueryInterval;
  const auto interval =
      kFirstQueryInterval * (1 << std::min(queries_, kMaxDoublings));
  return std::min(interval, kLastQueryInterval);
}

bool EvacuationExchange::NeedsHello(TimePoint now) const {
  return !balancer_ && resumed_ && now - resumed_at_ >= kHelloDelay;
}

DataCenterStatus EvacuationExchange::StatusOf(std::string_view data_center,
                                              TimePoint now) const {
  if (data_center.empty()) return DataCenterStatus::kOpen;
  if (!state_.known()) {
    if (!has_earlier_build_) return DataCenterStatus::kUnknown;
    return resumed_ ? DataCenterStatus::kUnconfirmed : DataCenterStatus::kOpen;
  }
  if (state_.IsEvacuated(data_center, now)) return DataCenterStatus::kEvacuated;
  if (IsConfirmed(now)) return DataCenterStatus::kOpen;
  return resumed_ ? DataCenterStatus::kUnconfirmed : DataCenterStatus::kUnknown;
}

}  // namespace cowslip::peers
