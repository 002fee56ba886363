#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/peers/evacuation_state.h"
#include "cowslip/peers/peer_entry.h"

namespace cowslip::peers {

/// Whether the data centre of an instance takes new connections, as far as the
/// instance knows.
enum class DataCenterStatus : std::uint8_t {
  kOpen,
  kEvacuated,
  kUnknown,  ///< No instance has told the state since the start.
  /// The state is from before a suspension and may have changed since.
  kUnconfirmed,
};

/// What an instance tells another one of evacuations in answer to a message.
enum class EvacuationResponse : std::uint8_t {
  kNone,
  kState,  ///< Its own state, which is newer or was asked for.
  kQuery,  ///< A query, as the message has left out newer names.
};

/// Decides what one instance tells others of evacuations, and whether what it
/// knows itself may be acted upon.
///
/// Handles instances that start while the store is away, which learn the state
/// from any other one, and instances that were suspended, whose state may be
/// outdated: they ask until a balancer with a confirmed state has answered.
class EvacuationExchange {
 public:
  /// Shortest interval of answers to one instance.
  static constexpr std::chrono::milliseconds kReplyInterval{100};
  /// Answers per second and in a burst. More instances than that ask only when
  /// a large deployment starts; they ask again 60 ms later.
  static constexpr double kReplyRate = 200;
  static constexpr double kReplyBurst = 400;
  /// Time after which a balancer acts on a state that nothing has confirmed,
  /// as neither the store nor another balancer can be reached. Each sidecar
  /// has sent its state to two balancers by then.
  static constexpr std::chrono::milliseconds kConfirmTime{400};
  /// Limit of instances that are told the first state as soon as it is known.
  static constexpr std::size_t kMaxWaiting = 512;
  /// Limit of instances whose last answer is remembered.
  static constexpr std::size_t kMaxReplied = 4096;

  /// @param seed of the numbers of queries, different for each process.
  EvacuationExchange(bool balancer, std::uint64_t seed)
      : balancer_(balancer), query_(static_cast<std::uint32_t>(seed) | 1U) {}

  /// The store holds this set.
  /// @param current whether it was asked after the last suspension.
  void OnStored(const EvacuationSnapshot& stored, bool current, TimePoint now);
  /// Another instance has sent a message.
  /// @param from_balancer whether the sender is a balancer.
  /// @param has_config whether the sender has a configuration in force.
  /// @param report std::nullopt if the sender is of a build before evacuations.
  EvacuationResponse OnMessage(InstanceAddress sender, bool from_balancer,
                               bool has_config,
                               const std::optional<EvacuationReport>& report,
                               TimePoint now);
  /// The process was suspended: what it knows may be outdated.
  void OnResume(TimePoint now);

  /// @return what to tell all instances.
  EvacuationReport Report(TimePoint now) const;
  /// @return whether a balancer has to be asked for the state.
  bool NeedsAnswer(TimePoint now) const;
  /// @return the time after the last query at which to send the next one:
  ///     short at first, as an answer may be lost, then longer, as balancers
  ///     that don't know the state answer as soon as they do.
  std::chrono::milliseconds QueryInterval() const;
  void OnQuerySent() { ++queries_; }
  /// @return the instances that have asked before the state was known, with
  ///     the numbers of their queries, and removes them.
  std::vector<std::pair<InstanceAddress, std::uint32_t>> TakeWaiting(
      TimePoint now);
  /// @return whether balancers of earlier builds don't answer queries, so that
  ///     a hello message has to be sent.
  bool NeedsHello(TimePoint now) const;

  /// @param data_center of this instance; one without a name can't be
  ///     evacuated.
  DataCenterStatus StatusOf(std::string_view data_center, TimePoint now) const;
  const EvacuationState& state() const { return state_; }
  std::vector<EvacuationChange> TakeChanges(TimePoint now) {
    return state_.TakeChanges(now);
  }

 private:
  bool IsConfirmed(TimePoint now) const;
  void OnReportOfBalancer(const EvacuationReport& report);
  bool MayReply(InstanceAddress to, TimePoint now);
  void NoteKnown(TimePoint now);

  bool balancer_;
  EvacuationState state_;
  TimePoint resumed_at_{};                ///< Meaningful only if `resumed_`.
  std::optional<TimePoint> known_since_;  ///< Or resumed since.
  /// The process was suspended, and no balancer has answered since.
  bool resumed_ = false;
  bool confirmed_ = false;
  /// A balancer of a build before evacuations has a configuration.
  bool has_earlier_build_ = false;
  int queries_ = 0;  ///< Sent since the start or the last suspension.
  std::uint32_t query_;
  TokenBucket reply_budget_{kReplyRate, kReplyBurst};
  std::map<InstanceAddress, TimePoint> replied_at_;
  std::map<InstanceAddress, std::uint32_t> waiting_;
};

}  // namespace cowslip::peers
