#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/link.h"
#include "cowslip/settings/settings_error.h"
#include "cowslip/settings/store_settings.h"

namespace cowslip::settings {

struct LogSettings {
  std::string level = "info";
  bool timestamps = true;
};

/// Which events an objective counts as good and bad.
enum class Indicator : std::uint8_t {
  kDatagrams,  ///< Balancer: callers' datagrams sent on, and dropped.
  kRequests,   ///< Sidecar: requests run, and those told not run or unknown.
  kFlows,      ///< Sidecar: new flows adopted, and refused.
};

/// A promised share of good events, reported as burn of its error budget.
struct ObjectiveSettings {
  std::string name;
  Indicator indicator = Indicator::kDatagrams;
  double target = 0.999;
};

struct BalancerSettings {
  BalancerId id{};
  Endpoint frames;  ///< Traffic thread i receives frames on port + i.
  /// Maps each service address to a local one: these upper 16 bits replace
  /// those of the service address. Absent: bind the service address itself.
  std::optional<std::uint32_t> entry_prefix;
  std::uint32_t threads = 1;
  std::uint32_t hint_capacity = 1 << 19;
};

struct SidecarSettings {
  UpstreamId id{};
  ServiceId service{};
  Endpoint frames;
  Endpoint upstream;
  std::uint32_t slots = 1;
  double weight = 1.0;
  std::chrono::milliseconds slow_start{0};
  std::string health;  ///< URL of the upstream's health, only a hint.
};

/// Settings of one cowslipd process.
struct DaemonSettings {
  std::string instance;
  std::string data_center;
  StoreSettings store;
  link::FrameKey frame_key{};
  LogSettings log;
  Endpoint http;
  Endpoint control;             ///< Where peers open ticket streams.
  std::vector<Endpoint> peers;  ///< Control endpoints tried at the start.
  std::chrono::milliseconds drain_timeout{std::chrono::seconds(30)};
  std::vector<ObjectiveSettings> objectives;
  std::optional<BalancerSettings> balancer;
  std::optional<SidecarSettings> sidecar;
};

/// Parses and checks the settings of a daemon as a whole.
/// @param file named in the reason as "file:line: field".
std::optional<DaemonSettings> ParseDaemonSettings(
    std::string_view text, std::string_view file,
    LastReason<SettingsError>& reason);

std::optional<DaemonSettings> LoadDaemonSettings(
    const std::string& path, LastReason<SettingsError>& reason);

}  // namespace cowslip::settings
