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

/// Calls the store for the membership of one sidecar, so that no traffic waits
/// for it. What the store doesn't answer is tried again, with a growing delay.
class MembershipThread {
 public:
  explicit MembershipThread(Announcer announcer);
  ~MembershipThread();
  MembershipThread(const MembershipThread&) = delete;
  MembershipThread& operator=(const MembershipThread&) = delete;

  /// Callable from any thread.
  void Post(const MembershipRequest& request);
  /// @return the answers since the last call; cheap if there are none.
  std::vector<MembershipAnswer> TakeAnswers();
  /// @param answer for the traffic thread.
  void Answer(const MembershipAnswer& answer);
  /// Announces draining. Callable from any thread.
  void Drain();
  /// Takes the announcement away.
  /// @return whether that happened within the limit.
  bool Withdraw(std::chrono::milliseconds limit);

 private:
  static constexpr std::chrono::milliseconds kFirstRetry{250};
  static constexpr std::chrono::milliseconds kMaxRetry{4000};
  static constexpr std::chrono::seconds kMaxDecisionAge{3};

  void Run();
  /// @return whether everything asked for is done.
  bool Work();
  bool ConfirmOnce();
  bool AnnounceOnce();
  bool WithdrawOnce();
  void RecordAll();
  void Wait(bool done);

  Announcer announcer_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::condition_variable withdrawn_;
  std::optional<ConfirmLease> confirm_;
  std::optional<AnnounceState> announce_;
  std::deque<RecordPeerDeath> records_;
  bool draining_ = false;
  bool withdraw_ = false;
  bool is_withdrawn_ = false;
  bool stopping_ = false;
  bool new_request_ = false;
  std::chrono::milliseconds retry_{kFirstRetry};
  std::vector<MembershipAnswer> answers_;
  std::atomic<bool> has_answers_{false};
  std::thread thread_;
};

}  // namespace cowslip::daemon
