#include "cowslip/outlier/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "cowslip/outlier/peer_median.h"
#include "cowslip/outlier/typical_time.h"

namespace cowslip::outlier {
namespace {

using Seconds = std::chrono::duration<double>;

/// Longest response time that is compared. A report beyond it is a fault of its
/// sender.
constexpr Duration kMaxTime = TypicalTime::kMaxTime;
/// Share above which there was a failure lately: a tenth of one request of 40.
constexpr double kAnyFailure = 0.0025;
constexpr Duration kMinTime = std::chrono::microseconds(1);

/// @return most members of a service that may be outliers at one time.
std::size_t MaxOutliers(std::size_t members) {
  if (members == 2) return 1;
  return members / OutlierDetector::kMaxPart;
}

}  // namespace

void OutlierDetector::OnReport(MemberId id, const Endpoint& address,
                               const ResponseReport& report, TimePoint now) {
  auto& member = members_[id];
  member.reported_at = now;
  member.last = report;
  if (report.is_empty) {
    member.rows.clear();
    if (member.is_outlier) End(id, member, now);
    return;
  }
  if (member.is_outlier) member.trials.OnReport(report, now);
  if (address == Endpoint{}) return;
  auto& rows = member.rows;
  auto row = std::find_if(rows.begin(), rows.end(), [&](const auto& each) {
    return each.address == address;
  });
  if (row == rows.end() && rows.size() < kMaxAddresses) {
    row = rows.emplace(rows.end());
  } else if (row == rows.end()) {
    row = std::min_element(rows.begin(), rows.end(),
                           [](const auto& a, const auto& b) {
                             return a.reported_at < b.reported_at;
                           });
  }
  *row = Row();
  row->address = address;
  row->reported_at = now;
  if (report.failure_share) {
    row->failure_share = std::clamp(*report.failure_share, 0.0, 1.0);
  }
  if (report.response_time) {
    const auto time = std::clamp(*report.response_time, kMinTime, kMaxTime);
    row->log_seconds = std::log2(Seconds(time).count());
  }
}

void OutlierDetector::Erase(MemberId id) {
  const auto found = members_.find(id);
  if (found == members_.end()) return;
  auto& member = found->second;
  if (member.is_outlier) End(id, member, member.reported_at);
  members_.erase(found);
}

void OutlierDetector::Evaluate(std::span<const MemberId> members,
                               TimePoint now) {
  Assess(members, now);
  worst_.clear();
  for (auto& assessed : assessments_) {
    auto& member = *assessed.member;
    if (member.is_outlier && HasEnded(assessed)) End(assessed.id, member, now);
    if (IsConfirmed(assessed, now)) worst_.push_back(&assessed);
  }
  std::stable_sort(
      worst_.begin(), worst_.end(),
      [](const auto* a, const auto* b) { return Severity(*a) > Severity(*b); });
  const auto limit = std::min(MaxOutliers(members.size()), worst_.size());
  for (std::size_t i = limit; i < worst_.size(); ++i) {
    auto& member = *worst_[i]->member;
    if (member.is_outlier) End(worst_[i]->id, member, now);
  }
  for (std::size_t i = 0; i < limit; ++i) Begin(*worst_[i], now);
}

/// Compares the recent reports of each service address. Addresses differ in
/// cost and in the requests that callers send, so a member is compared only
/// with peers at the same address.
void OutlierDetector::Assess(std::span<const MemberId> members, TimePoint now) {
  assessments_.clear();
  samples_.clear();
  for (const auto id : members) {
    const auto found = members_.find(id);
    if (found == members_.end()) continue;
    assessments_.push_back({.id = id, .member = &found->second});
    for (const auto& row : found->second.rows) {
      if (now - row.reported_at > kReportLifetime) continue;
      samples_.push_back({row.address, assessments_.size() - 1, &row});
    }
  }
  std::stable_sort(
      samples_.begin(), samples_.end(),
      [](const auto& a, const auto& b) { return a.address < b.address; });
  const std::span<const Sample> all(samples_);
  for (std::size_t begin = 0; begin < all.size();) {
    auto end = begin + 1;
    while (end < all.size() && all[end].address == all[begin].address) ++end;
    CompareShares(all.subspan(begin, end - begin));
    CompareTimes(all.subspan(begin, end - begin));
    begin = end;
  }
  for (auto& assessed : assessments_) {
    auto& member = *assessed.member;
    if (assessed.speeds == 0) continue;
    member.speed = std::exp2(assessed.log_speed_sum / assessed.speeds);
  }
}

void OutlierDetector::CompareShares(std::span<const Sample> samples) {
  values_.clear();
  for (const auto& sample : samples) {
    if (sample.row->failure_share) {
      values_.push_back(*sample.row->failure_share);
    }
  }
  if (values_.size() < 2) return;
  std::sort(values_.begin(), values_.end());
  const auto failing =
      std::count_if(values_.begin(), values_.end(),
                    [](double share) { return share >= kMinFailureShare; });
  const bool is_common = 2 * static_cast<std::size_t>(failing) > values_.size();
  for (const auto& sample : samples) {
    const auto share = sample.row->failure_share;
    if (!share) continue;
    auto& assessed = assessments_[sample.assessment];
    auto& member = *assessed.member;
    const bool is_first = assessed.failures == 0;
    member.failure_share =
        is_first ? *share : std::max(*share, member.failure_share.value_or(0));
    const double peers = PeerMedian(values_, *share);
    assessed.peers_fail |= peers > kAnyFailure;
    const double median = std::max(peers, kMinMedianShare);
    const double least = std::max(kMinFailureShare, kTimesMedian * median);
    assessed.is_common |= is_common && *share >= kMinFailureShare;
    if (!is_common) {
      assessed.failures = std::max(assessed.failures, *share / least);
    }
  }
}

void OutlierDetector::CompareTimes(std::span<const Sample> samples) {
  values_.clear();
  for (const auto& sample : samples) {
    if (sample.row->log_seconds) values_.push_back(*sample.row->log_seconds);
  }
  if (values_.size() < 2) return;
  std::sort(values_.begin(), values_.end());
  for (const auto& sample : samples) {
    const auto log_seconds = sample.row->log_seconds;
    if (!log_seconds) continue;
    auto& assessed = assessments_[sample.assessment];
    assessed.log_speed_sum += *log_seconds - PeerMedian(values_, *log_seconds);
    ++assessed.speeds;
  }
}

/// Right after a recovery the share still holds older failures, but a run of
/// answered requests speaks against a fault.
bool OutlierDetector::IsFailing(const Assessment& assessed) {
  const auto& member = *assessed.member;
  return assessed.failures >= 1 &&
         member.last.good_run < member.trials.required_run();
}

bool OutlierDetector::IsSlow(const Assessment& assessed) {
  return assessed.speeds > 0 && assessed.member->speed >= kMinSpeed;
}

bool OutlierDetector::HasEnded(const Assessment& assessed) {
  const auto& member = *assessed.member;
  const bool fails = member.by_failures && !assessed.is_common &&
                     member.last.good_run < member.trials.required_run();
  const bool is_slow =
      member.by_speed && (assessed.speeds == 0 || member.speed >= kEndSpeed);
  return !fails && !is_slow;
}

bool OutlierDetector::IsConfirmed(const Assessment& assessed, TimePoint now) {
  auto& member = *assessed.member;
  if (!IsFailing(assessed) && !IsSlow(assessed)) {
    member.suspected_since.reset();
  } else if (!member.suspected_since) {
    member.suspected_since = now;
  }
  if (member.is_outlier) return true;
  const auto confirmation =
      assessed.peers_fail ? kLongConfirmation : kConfirmation;
  return member.suspected_since &&
         now - *member.suspected_since >= confirmation;
}

double OutlierDetector::Severity(const Assessment& assessed) {
  const double speed = assessed.member->speed.value_or(0) / kMinSpeed;
  return std::max(assessed.failures, speed);
}

void OutlierDetector::Begin(Assessment& assessed, TimePoint now) {
  auto& member = *assessed.member;
  member.by_failures |= IsFailing(assessed);
  member.by_speed |= IsSlow(assessed);
  if (member.is_outlier) return;
  member.is_outlier = true;
  ++outliers_;
  member.trials.Begin(member.last, now);
  AppendChange(assessed.id, member);
}

void OutlierDetector::End(MemberId id, Member& member, TimePoint now) {
  member.is_outlier = false;
  member.by_failures = false;
  member.by_speed = false;
  --outliers_;
  member.trials.End(now);
  AppendChange(id, member);
}

void OutlierDetector::AppendChange(MemberId id, const Member& member) {
  changes_.push_back(
      {id, member.is_outlier, member.failure_share, member.speed});
}

void OutlierDetector::ExpireReports(TimePoint now) {
  for (auto entry = members_.begin(); entry != members_.end();) {
    auto& [id, member] = *entry;
    if (now - member.reported_at <= kStateLifetime) {
      ++entry;
      continue;
    }
    if (member.is_outlier) End(id, member, now);
    entry = members_.erase(entry);
  }
}

bool OutlierDetector::IsOutlier(MemberId id) const {
  if (outliers_ == 0) return false;
  const auto found = members_.find(id);
  return found != members_.end() && found->second.is_outlier;
}

bool OutlierDetector::IsTrialDue(MemberId id, TimePoint now) const {
  return IsOutlier(id) && members_.at(id).trials.IsDue(now);
}

void OutlierDetector::OnTrial(MemberId id, TimePoint now) {
  const auto found = members_.find(id);
  if (found != members_.end()) found->second.trials.OnTrial(now);
}

std::vector<MemberId> OutlierDetector::TakeReportRequests(std::size_t count,
                                                          TimePoint now) {
  std::vector<MemberId> due;
  if (outliers_ == 0) return due;
  for (auto& [id, member] : members_) {
    if (due.size() == count) break;
    if (!member.is_outlier) continue;
    const auto interval =
        member.trials.IsRunning()
            ? std::max<Duration>(kTrialReportInterval,
                                 (now - member.trials.last_trial()) / 2)
            : Duration(kReportInterval);
    if (now - std::max(member.reported_at, member.asked_at) < interval) {
      continue;
    }
    member.asked_at = now;
    due.push_back(id);
  }
  return due;
}

std::vector<OutlierChange> OutlierDetector::TakeChanges() {
  return std::exchange(changes_, {});
}

std::vector<OutlierDetector::Comparison> OutlierDetector::Comparisons(
    std::size_t count) const {
  std::vector<std::pair<double, Comparison>> all;
  for (const auto& [id, member] : members_) {
    if (!member.speed && !member.failure_share) continue;
    constexpr double kOutliersFirst = 1e9;
    all.push_back(
        {member.is_outlier ? kOutliersFirst : member.speed.value_or(0),
         {id, member.failure_share, member.speed}});
  }
  const auto kept = std::min(count, all.size());
  std::partial_sort(
      all.begin(), all.begin() + static_cast<std::ptrdiff_t>(kept), all.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<Comparison> comparisons;
  for (std::size_t i = 0; i < kept; ++i) comparisons.push_back(all[i].second);
  return comparisons;
}

}  // namespace cowslip::outlier
