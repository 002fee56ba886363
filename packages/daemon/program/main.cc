#include <docopt/docopt.h>

#include <iostream>

#include "cowslip/daemon.h"
#include "cowslip/settings.h"
#include "cowslip/telemetry.h"

namespace {

constexpr char kVersion[] = "cowslipd 0.1.0";
constexpr char kUsage[] = R"(cowslipd: layer-4 load balancer.

Usage:
  cowslipd balancer --settings FILE
  cowslipd sidecar --settings FILE
  cowslipd (-h | --help)
  cowslipd --version

Options:
  --settings FILE  YAML settings, see docs/OPERATIONS.md.
  -h --help        Show this text.
  --version        Show the version.

Exit codes: 0 orderly shutdown, 2 invalid settings or usage, 3 could not run.
)";

constexpr int kExitSettings = 2;
constexpr int kExitFailed = 3;

int Run(const std::string& role, const std::string& path) {
  using cowslip::LastReason;
  LastReason<cowslip::settings::SettingsError> settings_reason;
  const auto settings =
      cowslip::settings::LoadDaemonSettings(path, settings_reason);
  const bool balancer = role == "balancer";
  if (settings && !(balancer ? settings->balancer.has_value()
                             : settings->sidecar.has_value())) {
    settings_reason.Set(cowslip::settings::SettingsError::kInvalid,
                        path + ": no section for role " + role);
  }
  if (!settings_reason.ok()) {
    std::cerr << settings_reason.Message() << "\n";
    return kExitSettings;
  }
  cowslip::telemetry::StartLog(settings->log.level, settings->log.timestamps,
                               settings->instance);
  LastReason<cowslip::daemon::DaemonError> reason;
  const bool succeeded = balancer
                             ? cowslip::daemon::RunBalancer(*settings, reason)
                             : cowslip::daemon::RunSidecar(*settings, reason);
  if (succeeded) return 0;
  cowslip::telemetry::Log(cowslip::telemetry::LogLevel::kError, "start_failed",
                          {{"reason", reason.Message()}});
  return kExitFailed;
}

}  // namespace

int main(int argc, char** argv) {
  auto arguments =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, true, kVersion);
  return Run(arguments["balancer"].asBool() ? "balancer" : "sidecar",
             arguments["--settings"].asString());
}
