#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::flow {

/// When an upstream that doesn't answer is probed and skipped.
struct SilenceLimits {
  Duration probe_after{};  ///< Traffic without an answer before a probe.
  Duration probe_every{};  ///< Interval of repeated probes.
  int probes = 1;          ///< Unanswered probes before skipping.
};

/// Judges from traffic which upstreams answer. A datagram service may be
/// one-way, so only unanswered probes make an upstream silent. The probes of
/// one suspicion follow each other by time, not by traffic, and are counted, so
/// that neither lost ones nor a pause of this process cause a suspicion.
class ContactTable {
 public:
  explicit ContactTable(const SilenceLimits& limits) : limits_(limits) {}

  /// Notes traffic towards the upstream.
  /// @return true if a probe is due now.
  bool OnSent(UpstreamId upstream, TimePoint now);
  /// Notes any frame from the upstream.
  void OnHeard(UpstreamId upstream);
  bool IsSilent(UpstreamId upstream) const;
  /// @return the upstreams to probe now without traffic. The span is valid
  ///     until the next call.
  const std::vector<UpstreamId>& TakeDue(TimePoint now);
  /// Forgets an upstream that has left or restarted.
  void Remove(UpstreamId upstream) { contacts_.erase(upstream); }

 private:
  struct Contact {
    std::optional<TimePoint> unanswered_since;
    TimePoint last_probe{};
    int probes = 0;  ///< Sent since the last answer.
  };

  bool Probe(Contact& contact, TimePoint now) const;

  SilenceLimits limits_;
  std::unordered_map<UpstreamId, Contact> contacts_;
  std::vector<UpstreamId> suspects_;  ///< Probed, neither heard nor silent.
  std::vector<UpstreamId> due_;
};

}  // namespace cowslip::flow
