// Passes mutated settings, tickets and announcements to their parsers.

#include <docopt/docopt.h>

#include <iostream>
#include <string>

#include "cowslip/membership.h"
#include "cowslip/settings.h"
#include "cowslip/ticket.h"
#include "mutator.h"

namespace {

using namespace cowslip;  // NOLINT(google-build-using-namespace)

constexpr char kUsage[] =
    R"(Fuzzes the parsers of settings, tickets and announcements.

Usage:
  document_fuzz [--seed N] [--inputs N]

Options:
  --seed N    Seed of the random generator [default: 1].
  --inputs N  Number of rounds [default: 10000].
)";

constexpr std::string_view kTicket = R"(ticket: 7
author: quispe
services:
  - {id: 1, name: custody, address: "10.0.0.1:5683", protocol: coap, prefer: balance}
removed:
  - {id: 2}
)";
constexpr std::string_view kSettings = R"(instance: b1
data_center: callao
store: {urls: ["http://127.0.0.1:8500"], timeout: 1s}
frame_key: 00112233445566778899aabbccddeeff
http: 127.0.0.1:8080
control: 127.0.0.1:8081
balancer: {id: 1, frames: "127.0.0.1:7000"}
)";

std::string MutateText(fuzz::Mutator& mutator, std::string_view text) {
  const auto mutated =
      mutator.Mutate(std::vector<std::uint8_t>(text.begin(), text.end()));
  return {mutated.begin(), mutated.end()};
}

std::string ValidAnnouncement() {
  membership::Announcement announcement;
  announcement.upstream.id = UpstreamId(1);
  announcement.upstream.service = ServiceId(1);
  announcement.upstream.sidecar = {0x7f000001, 7000};
  return membership::EncodeAnnouncement(announcement);
}

}  // namespace

int main(int argc, char** argv) {
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  const auto seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
  const auto inputs = arguments["--inputs"].asLong();
  fuzz::Mutator mutator(seed);
  const auto announcement = ValidAnnouncement();
  std::uint64_t accepted = 0;
  for (auto i = 0; i < inputs; ++i) {
    LastReason<ticket::TicketError> ticket_error;
    LastReason<settings::SettingsError> settings_error;
    LastReason<membership::MembershipError> announcement_error;
    accepted +=
        ticket::ParseTicket(MutateText(mutator, kTicket), "t", ticket_error)
            .has_value();
    accepted += settings::ParseDaemonSettings(MutateText(mutator, kSettings),
                                              "s", settings_error)
                    .has_value();
    accepted += membership::DecodeAnnouncement(
                    MutateText(mutator, announcement), announcement_error)
                    .has_value();
  }
  std::cout << "seed=" << seed << " inputs=" << inputs << " taken=" << accepted
            << "\n";
}
