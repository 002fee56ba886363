#include "cowslip/daemon/membership_thread.h"

#include <algorithm>

#include "cowslip/telemetry.h"

namespace cowslip::daemon {

using telemetry::Log;
using telemetry::LogLevel;

namespace {

void LogFailure(std::string_view event, const LastReason<DaemonError>& reason) {
  Log(LogLevel::kWarn, event, {{"reason", reason.Message()}});
}

std::string_view OutcomeName(membership::RecordOutcome outcome) {
  switch (outcome) {
    case membership::RecordOutcome::kWritten:
      return "written";
    case membership::RecordOutcome::kAlreadyRecorded:
      return "already";
    case membership::RecordOutcome::kUnavailable:
      return "unavailable";
  }
  return "unknown";
}

}  // namespace

MembershipThread::MembershipThread(AnnouncementStore announcements)
    : announcements_(std::move(announcements)), thread_([this] { Run(); }) {}

MembershipThread::~MembershipThread() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  announcements_.Cancel();
  request_posted_.notify_all();
  thread_.join();
}

void MembershipThread::Post(const MembershipRequest& request) {
  {
    const std::lock_guard lock(mutex_);
    if (const auto* confirm = std::get_if<ConfirmLease>(&request)) {
      pending_confirm_ = *confirm;
    } else if (const auto* record = std::get_if<RecordPeerDeath>(&request)) {
      pending_deaths_.push_back(*record);
    } else if (const auto* state = std::get_if<AnnounceState>(&request)) {
      if (!draining_) pending_announce_ = *state;
    }
    new_request_ = true;
  }
  request_posted_.notify_all();
}

void MembershipThread::RequestDrain() {
  {
    const std::lock_guard lock(mutex_);
    draining_ = true;
    pending_announce_ = AnnounceState{UpstreamState::kDraining};
    new_request_ = true;
  }
  request_posted_.notify_all();
}

bool MembershipThread::Withdraw(std::chrono::milliseconds limit) {
  std::unique_lock lock(mutex_);
  withdraw_requested_ = true;
  new_request_ = true;
  request_posted_.notify_all();
  return withdrawal_done_.wait_for(lock, limit,
                                   [this] { return is_withdrawn_; });
}

std::vector<MembershipResult> MembershipThread::TakeResults() {
  if (!has_results_.load(std::memory_order_acquire)) return {};
  const std::lock_guard lock(mutex_);
  has_results_.store(false, std::memory_order_release);
  return std::exchange(results_, {});
}

void MembershipThread::PostResult(const MembershipResult& result) {
  const std::lock_guard lock(mutex_);
  results_.push_back(result);
  has_results_.store(true, std::memory_order_release);
}

void MembershipThread::Run() {
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) return;
      new_request_ = false;
    }
    const bool done = ExecuteRequests();
    retry_delay_ = done ? kFirstRetry : std::min(2 * retry_delay_, kMaxRetry);
    WaitForRequests(done);
  }
}

void MembershipThread::WaitForRequests(bool done) {
  std::unique_lock lock(mutex_);
  const auto is_woken = [this] { return stopping_ || new_request_; };
  if (done) {
    request_posted_.wait(lock, is_woken);
  } else {
    request_posted_.wait_for(lock, retry_delay_, is_woken);
  }
}

bool MembershipThread::ExecuteRequests() {
  RecordDeaths();
  const bool confirmed = ConfirmOnce();
  const bool announced = AnnounceOnce();
  const bool withdrawn = WithdrawOnce();
  return confirmed && announced && withdrawn;
}

bool MembershipThread::ConfirmOnce() {
  std::optional<ConfirmLease> pending;
  {
    const std::lock_guard lock(mutex_);
    pending = pending_confirm_;
  }
  if (!pending) return true;
  LastReason<DaemonError> reason;
  const auto status = announcements_.Confirm(reason);
  if (!status) {
    LogFailure("lease_not_confirmed", reason);
    return false;
  }
  PostResult(
      LeaseResult{pending->check_id, *status, announcements_.incarnation()});
  const std::lock_guard lock(mutex_);
  if (pending_confirm_->check_id == pending->check_id) pending_confirm_.reset();
  return !pending_confirm_;
}

bool MembershipThread::AnnounceOnce() {
  std::optional<AnnounceState> pending;
  {
    const std::lock_guard lock(mutex_);
    pending = pending_announce_;
  }
  if (!pending) return true;
  LastReason<DaemonError> reason;
  if (!announcements_.Announce(pending->state, reason)) {
    LogFailure("announcement_failed", reason);
    return false;
  }
  const std::lock_guard lock(mutex_);
  if (pending_announce_->state == pending->state) pending_announce_.reset();
  return !pending_announce_;
}

bool MembershipThread::WithdrawOnce() {
  {
    const std::lock_guard lock(mutex_);
    if (!withdraw_requested_ || is_withdrawn_) return true;
  }
  LastReason<DaemonError> reason;
  if (!announcements_.Withdraw(reason)) {
    LogFailure("withdrawal_failed", reason);
    return false;
  }
  const std::lock_guard lock(mutex_);
  is_withdrawn_ = true;
  withdrawal_done_.notify_all();
  return true;
}

void MembershipThread::RecordDeaths() {
  std::deque<RecordPeerDeath> records;
  {
    const std::lock_guard lock(mutex_);
    records.swap(pending_deaths_);
  }
  for (const auto& record : records) {
    LastReason<DaemonError> reason;
    const auto age = std::chrono::steady_clock::now() - record.decided_at;
    const auto outcome = age > kMaxDecisionAge
                             ? membership::RecordOutcome::kUnavailable
                             : announcements_.MarkDead(record.death, reason);
    Log(LogLevel::kWarn, "upstream_death_recorded",
        {{"upstream", Raw(record.death.subject)},
         {"incarnation", Raw(record.death.incarnation)},
         {"outcome", OutcomeName(outcome)}});
    PostResult(DeathRecordResult{record.death, outcome});
  }
}

}  // namespace cowslip::daemon
