#include "cowslip/engine/counters.h"

namespace cowslip::engine {
namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(Counter::kCount)>
    kNames{
        "caller_datagrams",
        "replies_sent",
        "frames_forwarded",
        "flows_adopted",
        "flows_expired",
        "flows_refused",
        "flows_passed_on",
        "walk_hops",
        "redirects_sent",
        "drop_unknown_service",
        "drop_wrong_service",
        "drop_no_upstream",
        "drop_hop_limit",
        "drop_unknown_flow",
        "drop_foreign_reply",
        "drop_malformed",
        "challenges",
        "runs",
        "replays",
        "outcomes_unknown",
        "not_run",
        "probes_sent",
        "silent_skips",
        "replies_retried",
        "handovers_sent",
        "handovers_taken",
        "replies_not_kept",
        "requests_passed_on",
        "requests_shed",
        "requests_refused",
        "requests_retried",
        "requests_overdue",
        "transfers_restarted",
        "upstream_refusals",
        "flows_yielded",
        "feeds_not_tracked",
        "notifications_repeated",
    };

}  // namespace

std::string_view CounterName(Counter counter) {
  return kNames[static_cast<std::size_t>(counter)];
}

}  // namespace cowslip::engine
