#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "cowslip/base.h"

namespace cowslip::flow {

/// Times after which an upstream that doesn't answer is probed and skipped.
struct SilenceLimits {
  Duration probe_after{};  ///< Traffic without an answer before a probe.
  Duration skip_after{};   ///< A probe without an answer before skipping.
  Duration probe_every{};  ///< Interval of repeated probes.
};

/// Judges from traffic which upstreams answer. A datagram service may be
/// one-way, so only an unanswered probe makes an upstream silent.
class ContactTable {
 public:
  explicit ContactTable(const SilenceLimits& limits) : limits_(limits) {}

  /// Notes traffic towards the upstream.
  /// @return true if a probe is due now.
  bool OnSent(UpstreamId upstream, TimePoint now);
  /// Notes any frame from the upstream.
  void OnHeard(UpstreamId upstream, TimePoint now);
  bool IsSilent(UpstreamId upstream, TimePoint now) const;
  /// Forgets an upstream that has left.
  void Remove(UpstreamId upstream) { contacts_.erase(upstream); }

 private:
  struct Contact {
    std::optional<TimePoint> unanswered_since;
    std::optional<TimePoint> first_probe;
    TimePoint last_probe{};
  };

  SilenceLimits limits_;
  std::unordered_map<UpstreamId, Contact> contacts_;
};

}  // namespace cowslip::flow
