#include "instance_commands.h"

#include <iostream>

#include "http_get.h"

namespace cowslip::ctl {
namespace {

constexpr std::chrono::milliseconds kTimeout{1000};

/// Prints one page of every instance.
ExitCode ShowPages(const settings::CtlSettings& settings,
                   const std::string& path) {
  auto result = ExitCode::kDone;
  for (const auto& instance : settings.instances) {
    const auto body = HttpGet(instance.http, path, kTimeout);
    std::cout << "instance=" << instance.name << " "
              << body.value_or("unreachable=true") << "\n";
    if (!body) result = ExitCode::kUnavailable;
  }
  return result;
}

}  // namespace

ExitCode ShowStatus(const settings::CtlSettings& settings) {
  return ShowPages(settings, "/ticket");
}

ExitCode ReportBurn(const settings::CtlSettings& settings) {
  return ShowPages(settings, "/report.txt");
}

ExitCode CheckSettings(const std::string& file) {
  LastReason<settings::SettingsError> daemon_reason;
  LastReason<settings::SettingsError> ctl_reason;
  const bool daemon =
      settings::LoadDaemonSettings(file, daemon_reason).has_value();
  if (daemon || settings::LoadCtlSettings(file, ctl_reason).has_value()) {
    std::cout << "valid settings=" << (daemon ? "cowslipd" : "cowslipctl")
              << "\n";
    return ExitCode::kDone;
  }
  std::cerr << "as cowslipd settings: " << daemon_reason.Message() << "\n"
            << "as cowslipctl settings: " << ctl_reason.Message() << "\n";
  return ExitCode::kInvalid;
}

}  // namespace cowslip::ctl
