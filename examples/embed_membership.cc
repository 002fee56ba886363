#include <cstdlib>
#include <iostream>

#include "cowslip/membership.h"

namespace {

using cowslip::Incarnation;
using cowslip::LastReason;
using cowslip::ServiceId;
using cowslip::TimePoint;
using cowslip::Upstream;
using cowslip::UpstreamId;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace membership = cowslip::membership;
namespace ticket = cowslip::ticket;

constexpr char kTicket[] = R"(
ticket: 1
author: example
services:
  - {id: 1, name: custody, address: "127.53.0.1:5683", protocol: coap, prefer: balance, idle_timeout: 60s}
)";

membership::ViewPtr MakeView(std::uint32_t members) {
  LastReason<ticket::TicketError> reason;
  const auto parsed = ticket::ParseTicket(kTicket, "example", reason);
  std::vector<Upstream> upstreams;
  for (std::uint32_t id = 1; id <= members; ++id) {
    Upstream upstream;
    upstream.id = UpstreamId(id);
    upstream.service = ServiceId(1);
    upstream.incarnation = Incarnation(1);
    upstream.sidecar = {id, 7000};
    upstreams.push_back(upstream);
  }
  return std::make_shared<membership::View>(
      1, *ticket::TicketState{}.Apply(*parsed, reason), std::move(upstreams));
}

}  // namespace

/// Example of the membership library, in simulated time: member 1 of a service
/// probes its neighbours. Member 2 does not answer, the others do; member 1 has
/// them confirm the failure by indirect probes before it records it.
int main() {
  membership::LivenessOptions options;
  options.id = UpstreamId(1);
  options.service = ServiceId(1);
  LastReason<membership::MembershipError> reason;
  auto monitor = membership::LivenessMonitor::Create(options, reason);
  if (!monitor) {
    std::cerr << reason.Message() << "\n";
    return EXIT_FAILURE;
  }
  TimePoint now{};
  membership::LivenessEffects effects;
  monitor->OnView(MakeView(5), now);
  monitor->OnFrameReceived(UpstreamId(2), Incarnation(1), false, now, effects);
  while (now < TimePoint(seconds(30))) {
    now += milliseconds(100);
    effects.Clear();
    monitor->OnTick(now, effects);
    const auto requested = effects;
    for (const auto& probe : requested.probes) {
      if (probe.to.address == 2) continue;
      monitor->OnFrameReceived(UpstreamId(probe.to.address), Incarnation(1),
                               false, now, effects);
    }
    effects.Clear();
    for (const auto& indirect_probe : requested.probe_requests) {
      std::cout << "indirect probe through member " << indirect_probe.to.address
                << "\n";
      monitor->OnProbeReply(UpstreamId(indirect_probe.to.address),
                            indirect_probe.inquiry, false, now, effects);
    }
    for (const auto& failure : effects.death_records) {
      std::cout << "record the failure of member " << Raw(failure.subject)
                << "\n";
      return EXIT_SUCCESS;
    }
  }
  return EXIT_FAILURE;
}
