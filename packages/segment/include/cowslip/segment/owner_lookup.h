#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/segment/balancer_stats.h"
#include "cowslip/segment/candidate_selector.h"
#include "cowslip/segment/observer.h"
#include "cowslip/segment/outbox.h"
#include "cowslip/segment/owner_query.h"
#include "cowslip/segment/owner_query_batch.h"
#include "cowslip/segment/pending_packet.h"
#include "cowslip/segment/retry_budget.h"
#include "cowslip/segment/round_trip_estimator.h"
#include "cowslip/segment/route_table.h"
#include "cowslip/segment/sidecar_state_table.h"
#include "cowslip/segment/silent_members.h"

namespace cowslip::segment {

/// What a balancer knows when it asks members; valid during one call.
struct LookupView {
  const RouteTable& routes;
  const CandidateSelector& members;
  const SidecarStateTable& sidecar_states;
  const PendingPackets& pending;
  /// The routes list all services that may own open flows. If not, the members
  /// of all services are asked.
  bool knows_former_services = false;
};

/// Asks all members at once which of them owns a flow, with queries that many
/// lookups share.
///
/// Load pattern: after a power loss or a restart of balancers, a thousand flows
/// without a known owner within milliseconds, most of them lost. Visits of all
/// members one after the other cost two datagrams for each flow and member, and
/// links of 10 Mbit/s lose the acknowledgements.
///
/// Limits, none of which grows with the flows lost or with the members: a
/// datagram for each member and kBatchInterval, kMaxOutstanding datagrams
/// without a reply (so that a slow link never holds more), and a budget of
/// datagrams per second. Lookups that the limits hold back end with their
/// lifetime.
class OwnerLookup {
 public:
  /// Longest time for which a question waits so that others share its queries,
  /// and shortest time between two queries to a member.
  static constexpr std::chrono::milliseconds kBatchInterval{10};
  /// Queries without a reply or timeout. A full one takes 0.8 kB, so they delay
  /// other packets on a link of 10 Mbit/s by 41 ms.
  static constexpr std::size_t kMaxOutstanding = 64;
  /// Queries per second, and in a burst: 1,000 lost flows at 62 members take
  /// 2,000. Sending one and handling its reply took 5.6 us of processor time on
  /// x86-64, so the rate is 0.02 of a core.
  static constexpr double kQueriesPerSecond = 4000;
  static constexpr double kQueryBurst = 1500;
  /// Members above which the budget doesn't cover the two rounds of a batch
  /// within kBatchLifetime: (1,500 + 0.6 * 4,000) / 2, less the delay of 25 ms
  /// between them and the time that replies take.
  static constexpr std::size_t kMaxMembers = 1800;
  /// Age at which a batch ends in any case, as no lookup lasts longer.
  static constexpr std::chrono::milliseconds kBatchLifetime{600};

  /// @param first_number of its queries: higher than any number that an earlier
  /// process used, so that late replies to that one are not mistaken.
  OwnerLookup(std::uint64_t first_number, Observer& observer,
              RoundTripEstimator& round_trips, BalancerStats& stats)
      : observer_(&observer),
        round_trips_(&round_trips),
        stats_(&stats),
        next_number_(first_number) {}

  /// Asks as soon as the limits allow it, and no earlier than the question is
  /// due.
  void Ask(const OwnerQuestion& question);
  /// Handles a reply of a sidecar and sends queries that waited for it.
  /// @param answers receives the flows that are decided by it.
  void OnReply(InstanceAddress sidecar, const OwnerReply& reply, TimePoint now,
               Outbox& out, std::vector<OwnerAnswer>& answers);
  /// Sends what is due and ends what has timed out. Call at least once in
  /// kBatchInterval while active().
  void Advance(const LookupView& view, TimePoint now, Outbox& out,
               std::vector<OwnerAnswer>& answers);
  /// @return whether there are questions or replies to wait for.
  bool active() const {
    return !new_questions_.empty() || !confirmations_.empty() ||
           !batches_.empty();
  }
  /// @return whether Advance() would start to ask.
  bool IsDue(TimePoint now) const;
  /// Discards everything; replies to earlier queries are ignored.
  void Clear();
  /// A sidecar's process has restarted, maybe with another build.
  void OnSidecarRestart(InstanceAddress sidecar) { silent_.Erase(sidecar); }

 private:
  void StartBatch(const LookupView& view, TimePoint now);
  /// @return whether the budget covers new questions beside what was begun. If
  /// not, lookups that are begun would end unconfirmed, with nothing gained.
  bool CoversNewQuestions(TimePoint now);
  void TakeQuestions(std::deque<OwnerQuestion>& from, const LookupView& view,
                     TimePoint now, OwnerQueryBatch& batch) const;
  void SendUnsent(TimePoint now, Outbox& out);
  void HandleTimeouts(TimePoint now, Outbox& out);
  void Send(OwnerQueryBatch& batch, OwnerQueryRow& row, TimePoint now,
            Outbox& out);
  /// @return whether the member got a query less than kBatchInterval ago.
  bool WasJustAsked(InstanceAddress sidecar, TimePoint now) const;
  void EndCompleteBatches(TimePoint now, std::vector<OwnerAnswer>& answers);
  void LogBatch(const OwnerQueryBatch& batch) const;

  Observer* observer_;
  RoundTripEstimator* round_trips_;
  BalancerStats* stats_;
  std::uint64_t next_number_;
  /// Questions that have not been asked; confirmations go first.
  std::deque<OwnerQuestion> new_questions_;
  std::deque<OwnerQuestion> confirmations_;
  std::deque<OwnerQueryBatch> batches_;  ///< The oldest first.
  std::size_t outstanding_ = 0;
  std::size_t last_row_count_ = 0;  ///< Members that the last batch asked.
  TimePoint last_batch_at_{};
  /// When each member was last sent a query.
  std::unordered_map<InstanceAddress, TimePoint> last_sent_;
  SilentMembers silent_;
  TokenBucket query_budget_{kQueriesPerSecond, kQueryBurst};
  /// For queries that are sent again. It is one of its own, so that lost
  /// queries do not hold back SYNs that have to be sent again.
  RetryBudget retry_budget_;
};

}  // namespace cowslip::segment
