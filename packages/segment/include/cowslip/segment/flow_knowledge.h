#pragma once

/// @file What a process can know of flows that it has not seen.
///
/// A process says that a flow is owned, or that it is not, only from proof:
///  * an upstream owns a flow if ProvesOwnership() or AcceptsHandshake() says
///    so, and doesn't own one that it has returned;
///  * a flow without a record does not exist if no flow can have been missed:
///    since a time that a KnowledgeWindow covers, or because the upstream is
///    younger than the process (UnseenFlows);
///  * a service owns no flow of a route if the route can't have led there
///    without the balancer's knowledge (RouteHistory);
///  * no member owns a flow if all that may own it are listed
///    (MembershipKnowledge) and each has said that it doesn't.
/// Everything else is unknown. What is unknown is neither claimed nor denied
/// nor reset: the upstream is queried, or the lookup goes on to other members
/// and ends without certainty.

#include <chrono>
#include <cstdint>
#include <optional>

#include "cowslip/base.h"
#include "cowslip/segment/segment.h"
#include "cowslip/segment/upstream_report.h"

namespace cowslip::segment {

/// Whether an upstream owns a flow, as its sidecar knows it.
enum class Ownership : std::uint8_t { kOwned, kNotOwned, kUnknown };

/// @return whether a packet that an upstream sent shows that it owns the flow.
///     A SYN-ACK doesn't: the caller may have chosen another upstream that
///     answered a copy of its SYN. Nor does a reset, which ends a handshake
///     too.
bool ProvesOwnership(const Segment& from_upstream);

/// @return whether a caller's packet, the first one after the handshake,
///     chooses the upstream whose SYN-ACK had this sequence number.
bool AcceptsHandshake(const Segment& from_caller, std::uint32_t upstream_seq);

/// The time since which a process cannot have missed anything of a kind that
/// matters to flows. It begins anew with each gap.
class KnowledgeWindow {
 public:
  explicit KnowledgeWindow(TimePoint start) : complete_since_(start) {}

  /// Something may have been missed until `now`.
  void OpenGap(TimePoint now) { complete_since_ = now; }
  /// @return whether everything is known that concerns a flow of any age.
  bool CoversAllFlows(TimePoint now) const {
    return now - complete_since_ >= kMaxFlowAge;
  }

 private:
  TimePoint complete_since_;
};

/// When a process started, on both clocks.
struct ProcessStart {
  TimePoint steady{};
  std::chrono::milliseconds time_of_day{};
};

/// Decides whether an upstream may own flows that its sidecar has no record of.
///
/// Nothing reaches an upstream but through the sidecar's processes. The present
/// one has a record of each flow that it placed, so only an earlier process can
/// have placed others, and only at an upstream that was there before that
/// process ended. What the store or peers tell of an earlier process is no
/// proof of what that process did last.
class UnseenFlows {
 public:
  explicit UnseenFlows(const ProcessStart& start)
      : start_(start), window_(start.steady) {}

  /// Sets the interval at which the upstream sends its reports.
  void SetReportInterval(std::chrono::milliseconds interval) {
    report_interval_ = interval;
  }
  /// Handles a report of the upstream's present process.
  void OnReport(const UpstreamReport& report, TimePoint now);
  /// The record of a flow was discarded before the flow could have ended.
  void OnRecordLost(TimePoint now);
  /// @return whether such flows may exist.
  bool MayExist(TimePoint now) const;

 private:
  /// @return whether the upstream's process began after earlier ones of this
  ///     sidecar had ended.
  bool IsYounger(const UpstreamReport& report) const;
  /// @return whether the upstream's process is younger than this and did not
  ///     start in the future.
  bool AgeIsBelow(Duration limit, const UpstreamReport& report,
                  TimePoint now) const;
  /// @return whether the upstream can have sent so many reports since this
  ///     process started. It limits how long the upstream can have run, in case
  ///     a clock was set.
  bool SequenceIsPlausible(const UpstreamReport& report, TimePoint now) const;

  /// @return the time that passes at least after an acknowledged report before
  ///     the next one is sent.
  Duration MinReportGap() const;

  ProcessStart start_;
  KnowledgeWindow window_;
  std::chrono::milliseconds report_interval_{1000};
  /// Start of the upstream's process that the last report was from.
  std::chrono::milliseconds upstream_started_at_{};
  bool has_report_ = false;
  bool upstream_is_younger_ = false;
  /// The first report came before a second one could be due, so no earlier
  /// process acknowledged one. It proves something only once another report
  /// shows that it was not that of an upstream that has gone.
  bool first_report_was_early_ = false;
  /// Reports that may have been sent before this process accepted any.
  std::uint64_t refused_reports_ = 0;
};

/// Decides whether a balancer knows all services that a route led to while its
/// open flows began.
///
/// A balancer knows the versions that it had in force. Another one may come and
/// go meanwhile: while this process is suspended or partitioned, or between two
/// fetches.
class RouteHistory {
 public:
  /// Age at which a confirmation that the version in force is the newest one is
  /// outdated: several times the interval of watches.
  static constexpr std::chrono::seconds kMaxVerifiedAge{5};

  explicit RouteHistory(TimePoint start) : window_(start) {}

  /// A version has come into force. @param follows_previous whether there was
  /// no version between it and the one before.
  void OnApplied(std::uint64_t version, bool follows_previous, TimePoint now);
  /// The process was suspended, or the store has come back from an older copy:
  /// other balancers may have had versions in force that this one never sees.
  void OnInterrupted(TimePoint now) { window_.OpenGap(now); }
  /// This version is in the store, or some balancer uses it.
  void OnVersionSeen(std::uint64_t version);
  /// Some balancer has read the store at this time, and OnVersionSeen() was
  /// called for what it held.
  void OnVerified(TimePoint read_at);
  /// @return whether no other service can own a flow of the route.
  bool IsComplete(TimePoint now) const;

 private:
  KnowledgeWindow window_;
  std::uint64_t version_ = 0;      ///< In force at this balancer.
  std::uint64_t newest_seen_ = 0;  ///< In the store, or at any balancer.
  std::optional<TimePoint> verified_at_;
};

/// Decides whether a balancer's lists hold every member that may own a flow.
///
/// Other balancers send each change, and repair what was lost by comparing
/// their lists with those of this one.
class MembershipKnowledge {
 public:
  /// Time that an update takes: a few milliseconds, or 100 ms through an
  /// instance that has used up its processor quota.
  static constexpr std::chrono::milliseconds kUpdateTime{200};
  /// Time within which comparisons find what was missed, also if a third of the
  /// messages is lost.
  static constexpr std::chrono::milliseconds kRepairTime{2000};
  /// Time without a message of another balancer after which changes may have
  /// been missed; on average there are two in 300 ms.
  static constexpr std::chrono::milliseconds kMaxSilence{1500};

  /// The lists hold all members that the store lists.
  void OnListed(TimePoint now);
  /// The process was suspended.
  void OnInterrupted(TimePoint now);
  /// A message of another balancer has arrived.
  void OnMessage(TimePoint now);
  /// @return whether OnListed() was called.
  bool is_listed() const { return complete_from_.has_value(); }
  /// @return whether no member can be missing.
  bool IsComplete(TimePoint now) const;

 private:
  std::optional<TimePoint> complete_from_;
  std::optional<TimePoint> last_message_;
};

}  // namespace cowslip::segment
