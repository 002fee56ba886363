#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "cowslip/base.h"
#include "cowslip/permit/permit.h"

namespace cowslip::permit {

/// Identifies a request; a retransmission has the same id.
struct RequestId {
  FlowKey flow;
  std::uint16_t message_id = 0;
  Bytes token;

  bool operator==(const RequestId&) const = default;
};

/// What to do with a request that has a verified permit.
enum class RunDecision : std::uint8_t {
  kRun,         ///< Run it now; the permit is spent.
  kInProgress,  ///< Retransmission of the running request: do not respond.
  kReplay,      ///< Retransmission of a finished request: send its outcome.
  kReused,      ///< Another request has spent the permit: challenge again.
  kExpired,     ///< The permit expired before it was spent: challenge again.
  kOutcomeUnknown,  ///< Too old: a record may have been removed.
};

/// The permits of one incarnation that were issued or spent. Ensures that each
/// is spent at most once, and stores the outcomes.
///
/// The record of a spent permit is removed EXCHANGE_LIFETIME (RFC 7252 section
/// 4.8.2) after the expiry of the permit, and never earlier: when the table is
/// full, no permits are issued.
class PermitTable {
 public:
  /// EXCHANGE_LIFETIME: retransmissions of a request arrive within this time.
  static constexpr std::chrono::seconds kExchangeLifetime{247};

  /// @param capacity the maximum number of records and reservations.
  explicit PermitTable(std::size_t capacity) : capacity_(capacity) {}

  /// Reserves a record for a permit that is about to be issued.
  /// @param expires expiry of the permit; not before that of the previous call.
  /// @return false if the table is full and no permit may be issued.
  bool Reserve(TimePoint now, TimePoint expires);

  /// Spends the permit if the decision is RunDecision::kRun.
  RunDecision Begin(const Permit& permit, const RequestId& request,
                    TimePoint now);

  /// @return whether the permit was spent and has no outcome yet.
  bool IsRunning(PermitNumber number) const;

  /// Stores the outcome of a running request, the encoded response. Further
  /// ones are ignored.
  /// @return whether this was the first outcome.
  bool Finish(PermitNumber number, Bytes outcome);

  /// @return the stored outcome, or nullptr.
  const Bytes* Outcome(PermitNumber number) const;

  /// Removes expired records and reservations.
  void Expire(TimePoint now);
  std::size_t size() const { return records_.size(); }
  std::size_t reserved() const { return reservations_.size(); }

 private:
  struct Record {
    RequestId request;
    std::optional<Bytes> outcome;
  };
  struct Expiry {
    TimePoint expires;
    PermitNumber number;
  };

  std::size_t capacity_;
  std::unordered_map<PermitNumber, Record> records_;
  std::deque<Expiry> expiries_;         ///< Expiry of each record, in order.
  std::deque<TimePoint> reservations_;  ///< Expiry of each, in order.
};

}  // namespace cowslip::permit
