#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "cowslip/daemon/membership_messages.h"

namespace cowslip::daemon {

/// Sends the store requests for the membership of one sidecar from its own
/// thread, so that the traffic thread never blocks on the store.
///
/// Failed requests are retried with exponential backoff, apart from records of
/// deaths, whose results go back to the traffic thread.
class MembershipThread {
 public:
  explicit MembershipThread(AnnouncementStore announcements);
  ~MembershipThread();
  MembershipThread(const MembershipThread&) = delete;
  MembershipThread& operator=(const MembershipThread&) = delete;

  /// Callable from any thread.
  void Post(const MembershipRequest& request);
  /// @return the results since the last call; without locking if there are
  /// none.
  std::vector<MembershipResult> TakeResults();
  /// Queues a result for the traffic thread. Callable from any thread.
  void PostResult(const MembershipResult& result);
  /// Announces that the upstream is draining; later states are ignored.
  /// Callable from any thread.
  void RequestDrain();
  /// Marks the announcement dead and waits for the store's response.
  /// @return whether that happened within the limit.
  bool Withdraw(std::chrono::milliseconds limit);

 private:
  static constexpr std::chrono::milliseconds kFirstRetry{250};
  static constexpr std::chrono::milliseconds kMaxRetry{4000};
  /// Records of deaths that were decided longer ago are not written.
  static constexpr std::chrono::seconds kMaxDecisionAge{3};

  void Run();
  /// Executes all pending requests once.
  /// @return whether none is left to retry.
  bool ExecuteRequests();
  bool ConfirmOnce();
  bool AnnounceOnce();
  bool WithdrawOnce();
  void RecordDeaths();
  void WaitForRequests(bool done);

  AnnouncementStore announcements_;
  std::mutex mutex_;
  std::condition_variable request_posted_;
  std::condition_variable withdrawal_done_;
  std::optional<ConfirmLease> pending_confirm_;
  std::optional<AnnounceState> pending_announce_;
  std::deque<RecordPeerDeath> pending_deaths_;
  bool draining_ = false;
  bool withdraw_requested_ = false;
  bool is_withdrawn_ = false;
  bool stopping_ = false;
  bool new_request_ = false;
  std::chrono::milliseconds retry_delay_{kFirstRetry};
  std::vector<MembershipResult> results_;
  std::atomic<bool> has_results_{false};
  std::thread thread_;
};

}  // namespace cowslip::daemon
