// Example of the permit library: runs a request at most once.

#include <iostream>

#include "cowslip/permit.h"

namespace {

using cowslip::FlowKey;
using cowslip::TimePoint;
namespace permit = cowslip::permit;

const char* Name(permit::RunDecision decision) {
  switch (decision) {
    case permit::RunDecision::kRun:
      return "run";
    case permit::RunDecision::kInProgress:
      return "in progress";
    case permit::RunDecision::kReplay:
      return "replay the outcome";
    case permit::RunDecision::kReused:
      return "challenge again: permit used by another request";
    case permit::RunDecision::kExpired:
      return "challenge again: permit expired";
    case permit::RunDecision::kOutcomeUnknown:
      return "outcome unknown";
  }
  return "";
}

}  // namespace

int main() {
  const TimePoint now{std::chrono::hours(1)};
  const FlowKey flow{{0x0a000001, 40000}, {0x0a330065, 5683}};
  // In production, use a random key for each incarnation of an upstream.
  const permit::PermitKey key{1, 2, 3};
  permit::PermitIssuer issuer(cowslip::UpstreamId(7), cowslip::Incarnation(1),
                              key);
  permit::PermitTable table(1000);
  if (!table.Reserve(now, now + permit::PermitIssuer::kLifetime)) return 1;
  const auto echo = issuer.Issue(flow, now);

  cowslip::LastReason<permit::PermitError> reason;
  const auto granted = issuer.Verify(echo, flow, reason);
  if (!granted) return 1;
  const permit::RequestId request{flow, 77, {1, 2}};
  const permit::RequestId other{flow, 78, {3, 4}};
  std::cout << Name(table.Begin(*granted, request, now)) << "\n";
  std::cout << Name(table.Begin(*granted, request, now)) << "\n";
  table.Finish(granted->number, {'d', 'o', 'n', 'e'});
  std::cout << Name(table.Begin(*granted, request, now)) << "\n";
  std::cout << Name(table.Begin(*granted, other, now)) << "\n";
}
