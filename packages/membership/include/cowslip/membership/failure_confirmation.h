#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/membership/liveness_effects.h"

namespace cowslip::membership {

/// A peer that can give a second opinion on a silent upstream.
struct Witness {
  UpstreamId id{};
  Endpoint sidecar;
  bool local = false;  ///< In the data centre of the subject.
};

/// Counts of witnesses asked and heard.
struct WitnessCount {
  double asked = 0;
  double answered = 0;
};

enum class ConfirmationResult : std::uint8_t {
  kPending,       ///< Wait for more answers.
  kAskMore,       ///< Ask the witnesses of the second stage.
  kConfirmed,     ///< The witnesses don't reach the subject either.
  kRefuted,       ///< Somebody reaches the subject.
  kInconclusive,  ///< Too few answers: perhaps the reporter itself is cut off.
};

/// One reporter's question to its peers whether an upstream is dead.
///
/// The first stage asks a few witnesses. If one stays silent, or other
/// neighbours are silent too, a second stage asks more, and the answers must
/// show that the reporter is with the majority.
class FailureConfirmation {
 public:
  static constexpr std::size_t kFirstStage = 5;
  static constexpr std::size_t kSecondStage = 16;
  /// Local witnesses at the front of the first stage.
  static constexpr std::size_t kLocalWitnesses = 2;

  /// @param candidates in the order in which to ask them.
  FailureConfirmation(const ConfirmationId& id, std::vector<Witness> candidates,
                      TimePoint now, Duration answer_timeout);

  /// @return the witnesses to ask now, at the start and after kAskMore.
  std::span<const Witness> NextStage(TimePoint now);
  void OnProbeReply(UpstreamId witness, bool reachable);
  /// @param other_silence whether further neighbours are silent.
  /// @param history earlier inquiries of this reporter.
  ConfirmationResult Evaluate(TimePoint now, bool other_silence,
                              const WitnessCount& history) const;

  const ConfirmationId& id() const { return id_; }
  WitnessCount count() const;

 private:
  enum class Answer : std::uint8_t { kNone, kUnreachable, kReachable };
  struct Asked {
    Witness witness;
    Answer answer = Answer::kNone;
  };

  bool Complete() const;
  bool LocallyConfirmed() const;
  bool WithMajority(const WitnessCount& history) const;

  ConfirmationId id_;
  std::vector<Witness> candidates_;
  std::vector<Asked> asked_;
  bool local_exists_ = false;
  bool widened_ = false;
  Duration answer_timeout_;
  TimePoint deadline_;
};

}  // namespace cowslip::membership
