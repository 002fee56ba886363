#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "cowslip/base.h"
#include "cowslip/permit/permit.h"

namespace cowslip::permit {

/// Tells a request from its repetitions.
struct RequestId {
  FlowKey flow;
  std::uint16_t message_id = 0;
  Bytes token;

  bool operator==(const RequestId&) const = default;
};

/// What to do with a request that brings a verified permit.
enum class RunDecision : std::uint8_t {
  kRun,             ///< Run it now; the permit is spent.
  kInProgress,      ///< A repetition of the running request: say nothing.
  kReplay,          ///< A repetition of a finished request: send the outcome.
  kReused,          ///< Another request spent the permit: challenge again.
  kExpired,         ///< Too late, and it was never run: challenge again.
  kOutcomeUnknown,  ///< Too old to know whether it was run.
};

/// Spends each permit of one incarnation at most once and keeps the outcomes.
///
/// A record lives for EXCHANGE_LIFETIME (RFC 7252 section 4.8.2) after its
/// permit has expired, and none is evicted before: when the table is full, no
/// new permits are granted.
class PermitTable {
 public:
  static constexpr std::chrono::seconds kExchangeLifetime{247};

  explicit PermitTable(std::size_t capacity) : capacity_(capacity) {}

  /// Reserves a record for a permit that will be issued until `expires`.
  /// @return false if no permit may be issued now.
  bool Reserve(TimePoint now, TimePoint expires);

  RunDecision Begin(const Permit& permit, const RequestId& request,
                    TimePoint now);

  /// @return whether the permit was spent and its outcome is not known yet.
  bool IsRunning(PermitNumber number) const;

  /// Keeps the outcome of a running request; later ones are ignored.
  /// @return whether this was its first outcome.
  bool Finish(PermitNumber number, Bytes outcome);

  /// @return the kept outcome, or nullptr.
  const Bytes* Outcome(PermitNumber number) const;

  void Expire(TimePoint now);
  std::size_t size() const { return records_.size(); }
  std::size_t reserved() const { return reservations_.size(); }

 private:
  struct Record {
    RequestId request;
    std::optional<Bytes> outcome;
  };
  struct Age {
    TimePoint expires;
    PermitNumber number;
  };

  std::size_t capacity_;
  std::unordered_map<PermitNumber, Record> records_;
  std::deque<Age> ages_;
  std::deque<TimePoint> reservations_;
};

}  // namespace cowslip::permit
