#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"
#include "cowslip/segment/owner_query.h"

namespace cowslip::segment {

/// Asks all members whether they own a flow.
struct OwnerQuestion {
  FlowKey flow;
  std::uint32_t caller_ack = 0;
  /// PendingPacket::lookup of the lookup that asks.
  std::uint64_t lookup = 0;
  bool confirmation = false;
  TimePoint due{};  ///< Not asked before.
  /// Members that have answered already.
  std::array<InstanceAddress, kMaxHops> answered{};
  std::uint8_t answered_count = 0;
};

/// What the members have answered to an OwnerQuestion.
struct OwnerAnswer {
  FlowKey flow;
  std::uint64_t lookup = 0;
  InstanceAddress owner = 0;  ///< 0 if no member said that it owns the flow.
  /// Why some member may own the flow all the same; empty if none may but those
  /// of the lists.
  std::string_view uncertainty;
  /// Version of the routes that determined whom to ask.
  std::uint64_t config = 0;
  bool all_services = false;  ///< The members of all services were asked.
  /// Members that don't know or did not answer, at most kMaxUndecided.
  std::vector<InstanceAddress> undecided;
  /// As above, of services that the route is not known to have led to, without
  /// those that don't know.
  std::vector<InstanceAddress> undecided_elsewhere;

  /// Within the lifetime of a lookup no more members can be visited, at 10 ms
  /// each for the return of the packet, in groups of 12 of them.
  static constexpr std::size_t kMaxUndecided = 120;
};

/// Progress of the query to one member.
enum class OwnerQueryState : std::uint8_t {
  kUnsent,
  kSent,
  kAnswered,
  kSilent  ///< No reply, or not asked because it answered none before.
};

/// One member in a batch. Bit i of each set stands for flow i of the batch.
struct OwnerQueryRow {
  InstanceAddress sidecar = 0;
  OwnerQueryState state = OwnerQueryState::kUnsent;
  bool repeated = false;
  std::uint64_t asked = 0;  ///< Flows that the member may own.
  /// Those of them whose routes are known to have led to its service.
  std::uint64_t routed = 0;
  std::uint64_t not_owned = 0;
  TimePoint sent_at{};

  /// @return flows that the member may own for all that is known.
  std::uint64_t undecided() const { return asked & ~not_owned; }
};

/// Flows that are asked about together, and the members that are asked.
struct OwnerQueryBatch {
  std::uint64_t number = 0;
  TimePoint started{};
  std::uint64_t config = 0;
  bool all_services = false;
  std::vector<OwnerQuestion> questions;
  std::uint64_t open = 0;  ///< Flows whose owner is not found yet.
  /// Flows that an unresponsive member may own, which is not asked.
  std::uint64_t unresponsive = 0;
  std::uint64_t unrouted = 0;               ///< Flows without a route.
  InstanceAddress unresponsive_member = 0;  ///< One of these, for the log.
  std::vector<OwnerQueryRow> rows;          ///< Sorted by address.
  std::size_t next_unsent = 0;              ///< No row before it is kUnsent.
  std::size_t rows_to_wait_for = 0;         ///< Rows that are kUnsent or kSent.

  OwnerQueryRow* Find(InstanceAddress sidecar);
  /// @return the query for a row.
  OwnerQuery QueryFor(const OwnerQueryRow& row) const;
  /// @return what is known of a flow once no reply is outstanding.
  OwnerAnswer AnswerOf(std::size_t index) const;
  /// @return an answer without members.
  OwnerAnswer MakeAnswer(std::size_t index) const;
};

}  // namespace cowslip::segment
