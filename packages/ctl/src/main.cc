#include <docopt/docopt.h>

#include <iostream>

#include "cowslip/settings.h"
#include "instance_commands.h"
#include "ticket_commands.h"

namespace {

using cowslip::ctl::ExitCode;

constexpr char kVersion[] = "cowslipctl 0.1.0";
constexpr char kUsage[] = R"(cowslipctl: operate cowslippitch by tickets.

Usage:
  cowslipctl ticket check FILE
  cowslipctl ticket submit FILE --settings FILE
  cowslipctl ticket show [NUMBER] --settings FILE
  cowslipctl ticket history --settings FILE
  cowslipctl ticket compact --settings FILE
  cowslipctl status --settings FILE
  cowslipctl report burn --settings FILE
  cowslipctl settings check FILE
  cowslipctl (-h | --help)
  cowslipctl --version

Options:
  --settings FILE  YAML settings with the store and the instances.
  -h --help        Show this text.
  --version        Show the version.

Exit codes: 0 success, 1 usage, 2 rejected (nothing changed), 3 unavailable,
4 the ticket number is taken, 5 outcome unknown (repeat the command).
)";

using Arguments = std::map<std::string, docopt::value>;

std::optional<std::uint64_t> TicketNumberArgument(const Arguments& arguments) {
  const auto& value = arguments.at("NUMBER");
  if (!value.isString()) return std::nullopt;
  return std::strtoull(value.asString().c_str(), nullptr, 10);
}

ExitCode RunWithSettings(const Arguments& arguments,
                         const cowslip::settings::CtlSettings& settings) {
  const auto is_set = [&](const char* word) {
    return arguments.at(word).asBool();
  };
  if (is_set("submit")) {
    return cowslip::ctl::SubmitTicket(settings,
                                      arguments.at("FILE").asString());
  }
  if (is_set("show")) {
    return cowslip::ctl::ShowTicket(settings, TicketNumberArgument(arguments));
  }
  if (is_set("history")) return cowslip::ctl::ShowHistory(settings);
  if (is_set("compact")) return cowslip::ctl::CompactTickets(settings);
  if (is_set("status")) return cowslip::ctl::ShowStatus(settings);
  return cowslip::ctl::ShowBurnReport(settings);
}

ExitCode Run(const Arguments& arguments) {
  if (arguments.at("check").asBool()) {
    const auto file = arguments.at("FILE").asString();
    return arguments.at("ticket").asBool() ? cowslip::ctl::CheckTicket(file)
                                           : cowslip::ctl::CheckSettings(file);
  }
  cowslip::LastReason<cowslip::settings::SettingsError> reason;
  const auto settings = cowslip::settings::LoadCtlSettings(
      arguments.at("--settings").asString(), reason);
  if (settings) return RunWithSettings(arguments, *settings);
  std::cerr << reason.Message() << "\n";
  return ExitCode::kInvalid;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, true, kVersion);
  return static_cast<int>(Run(arguments));
}
