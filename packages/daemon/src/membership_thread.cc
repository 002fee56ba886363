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

MembershipThread::MembershipThread(Announcer announcer)
    : announcer_(std::move(announcer)), thread_([this] { Run(); }) {}

MembershipThread::~MembershipThread() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  announcer_.Cancel();
  wake_.notify_all();
  thread_.join();
}

void MembershipThread::Post(const MembershipRequest& request) {
  {
    const std::lock_guard lock(mutex_);
    if (const auto* confirm = std::get_if<ConfirmLease>(&request)) {
      confirm_ = *confirm;
    } else if (const auto* record = std::get_if<RecordPeerDeath>(&request)) {
      records_.push_back(*record);
    } else if (const auto* state = std::get_if<AnnounceState>(&request)) {
      if (!draining_) announce_ = *state;
    }
    new_request_ = true;
  }
  wake_.notify_all();
}

void MembershipThread::Drain() {
  {
    const std::lock_guard lock(mutex_);
    draining_ = true;
    announce_ = AnnounceState{UpstreamState::kDraining};
    new_request_ = true;
  }
  wake_.notify_all();
}

bool MembershipThread::Withdraw(std::chrono::milliseconds limit) {
  std::unique_lock lock(mutex_);
  withdraw_ = true;
  new_request_ = true;
  wake_.notify_all();
  return withdrawn_.wait_for(lock, limit, [this] { return is_withdrawn_; });
}

std::vector<MembershipAnswer> MembershipThread::TakeAnswers() {
  if (!has_answers_.load(std::memory_order_acquire)) return {};
  const std::lock_guard lock(mutex_);
  has_answers_.store(false, std::memory_order_release);
  return std::exchange(answers_, {});
}

void MembershipThread::Answer(const MembershipAnswer& answer) {
  const std::lock_guard lock(mutex_);
  answers_.push_back(answer);
  has_answers_.store(true, std::memory_order_release);
}

void MembershipThread::Run() {
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) return;
      new_request_ = false;
    }
    const bool done = Work();
    retry_ = done ? kFirstRetry : std::min(2 * retry_, kMaxRetry);
    Wait(done);
  }
}

void MembershipThread::Wait(bool done) {
  std::unique_lock lock(mutex_);
  const auto woken = [this] { return stopping_ || new_request_; };
  if (done) {
    wake_.wait(lock, woken);
  } else {
    wake_.wait_for(lock, retry_, woken);
  }
}

bool MembershipThread::Work() {
  RecordAll();
  const bool confirmed = ConfirmOnce();
  const bool announced = AnnounceOnce();
  const bool withdrawn = WithdrawOnce();
  return confirmed && announced && withdrawn;
}

bool MembershipThread::ConfirmOnce() {
  std::optional<ConfirmLease> asked;
  {
    const std::lock_guard lock(mutex_);
    asked = confirm_;
  }
  if (!asked) return true;
  LastReason<DaemonError> reason;
  const auto standing = announcer_.Confirm(reason);
  if (!standing) {
    LogFailure("lease_not_confirmed", reason);
    return false;
  }
  Answer(LeaseAnswer{asked->question, *standing, announcer_.incarnation()});
  const std::lock_guard lock(mutex_);
  if (confirm_->question == asked->question) confirm_.reset();
  return !confirm_;
}

bool MembershipThread::AnnounceOnce() {
  std::optional<AnnounceState> asked;
  {
    const std::lock_guard lock(mutex_);
    asked = announce_;
  }
  if (!asked) return true;
  LastReason<DaemonError> reason;
  if (!announcer_.Announce(asked->state, reason)) {
    LogFailure("announcement_failed", reason);
    return false;
  }
  const std::lock_guard lock(mutex_);
  if (announce_->state == asked->state) announce_.reset();
  return !announce_;
}

bool MembershipThread::WithdrawOnce() {
  {
    const std::lock_guard lock(mutex_);
    if (!withdraw_ || is_withdrawn_) return true;
  }
  LastReason<DaemonError> reason;
  if (!announcer_.Withdraw(reason)) {
    LogFailure("withdrawal_failed", reason);
    return false;
  }
  const std::lock_guard lock(mutex_);
  is_withdrawn_ = true;
  withdrawn_.notify_all();
  return true;
}

void MembershipThread::RecordAll() {
  std::deque<RecordPeerDeath> records;
  {
    const std::lock_guard lock(mutex_);
    records.swap(records_);
  }
  for (const auto& record : records) {
    LastReason<DaemonError> reason;
    const auto age = std::chrono::steady_clock::now() - record.decided;
    const auto outcome = age > kMaxDecisionAge
                             ? membership::RecordOutcome::kUnavailable
                             : announcer_.Record(record.death, reason);
    Log(LogLevel::kWarn, "upstream_death_recorded",
        {{"upstream", Raw(record.death.subject)},
         {"incarnation", Raw(record.death.incarnation)},
         {"outcome", OutcomeName(outcome)}});
    Answer(DeathAnswer{record.death, outcome});
  }
}

}  // namespace cowslip::daemon
