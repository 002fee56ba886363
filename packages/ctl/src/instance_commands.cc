#include "instance_commands.h"

#include <iostream>

#include "http_get.h"

namespace cowslip::ctl {
namespace {

constexpr std::chrono::milliseconds kTimeout{1000};

/// Prints the given HTTP page of each instance.
ExitCode PrintPages(const settings::CtlSettings& settings,
                    const std::string& path) {
  auto result = ExitCode::kSuccess;
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
  return PrintPages(settings, "/ticket");
}

ExitCode ShowBurnReport(const settings::CtlSettings& settings) {
  return PrintPages(settings, "/report.txt");
}

ExitCode CheckSettings(const std::string& file) {
  LastReason<settings::SettingsError> daemon_reason;
  LastReason<settings::SettingsError> ctl_reason;
  const bool daemon =
      settings::LoadDaemonSettings(file, daemon_reason).has_value();
  if (daemon || settings::LoadCtlSettings(file, ctl_reason).has_value()) {
    std::cout << "valid settings=" << (daemon ? "cowslipd" : "cowslipctl")
              << "\n";
    return ExitCode::kSuccess;
  }
  std::cerr << "as cowslipd settings: " << daemon_reason.Message() << "\n"
            << "as cowslipctl settings: " << ctl_reason.Message() << "\n";
  return ExitCode::kInvalid;
}

}  // namespace cowslip::ctl
