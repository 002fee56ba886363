#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/membership/liveness_effects.h"

namespace cowslip::membership {

/// A member that a reporter asks to probe an unresponsive upstream.
struct Witness {
  UpstreamId id{};
  Endpoint sidecar;
  bool local = false;  ///< In the subject's data centre.
};

/// Numbers of witnesses that were asked and that replied. Fractional, since
/// counts of earlier failure confirmations decay.
struct WitnessCount {
  double asked = 0;
  double answered = 0;
};

/// Result of a FailureConfirmation so far.
enum class ConfirmationResult : std::uint8_t {
  kPending,    ///< Replies are outstanding.
  kAskMore,    ///< Ask the witnesses of the second stage.
  kConfirmed,  ///< The witnesses can't reach the subject either.
  kRefuted,    ///< A witness reached the subject.
  /// Too few replies, or none from the subject's data centre: the reporter
  /// itself may be cut off.
  kInconclusive,
};

/// Reporter side of a failure confirmation: asks other members to probe an
/// upstream that is unresponsive for the reporter.
///
/// The first stage asks a few witnesses. If one of them doesn't reply, or
/// further neighbours of the reporter are unresponsive too, a second stage asks
/// more. The failure is then confirmed only if enough witnesses replied to show
/// that the reporter is on the majority side of a network partition.
class FailureConfirmation {
 public:
  static constexpr std::size_t kFirstStage = 5;    ///< Witnesses.
  static constexpr std::size_t kSecondStage = 16;  ///< Further witnesses.
  /// Witnesses of the subject's data centre that the first stage asks first.
  static constexpr std::size_t kLocalWitnesses = 2;

  /// @param candidates in the order in which they are asked.
  FailureConfirmation(const ConfirmationId& id, std::vector<Witness> candidates,
                      TimePoint now, Duration answer_timeout);

  /// Begins the next stage; call it at the start and after kAskMore.
  /// @return the witnesses to ask now.
  std::span<const Witness> NextStage(TimePoint now);
  /// Records the reply of a witness.
  void OnProbeReply(UpstreamId witness, bool reachable);
  /// Evaluates the replies received so far.
  /// @param others_unresponsive whether further neighbours of the reporter are
  ///     unresponsive.
  /// @param history counts of this reporter's earlier confirmations.
  ConfirmationResult Evaluate(TimePoint now, bool others_unresponsive,
                              const WitnessCount& history) const;

  const ConfirmationId& id() const { return id_; }
  /// @return how many witnesses were asked and how many of them replied.
  WitnessCount count() const;

 private:
  enum class Reply : std::uint8_t { kNone, kUnreachable, kReachable };
  struct AskedWitness {
    Witness witness;
    Reply reply = Reply::kNone;
  };

  bool AllReplied() const;
  /// @return whether a witness in the subject's data centre can't reach the
  ///     subject; true also if there is no such witness.
  bool LocallyConfirmed() const;
  /// @return whether enough witnesses replied to exclude that the reporter is
  ///     in a minority partition.
  bool IsWithMajority(const WitnessCount& history) const;

  ConfirmationId id_;
  std::vector<Witness> candidates_;
  std::vector<AskedWitness> asked_;
  bool has_local_witness_ = false;
  bool in_second_stage_ = false;
  Duration reply_timeout_;
  TimePoint deadline_;
};

}  // namespace cowslip::membership
