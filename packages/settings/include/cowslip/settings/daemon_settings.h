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

/// Section "log": output of the log of a daemon.
struct LogSettings {
  std::string level = "info";  ///< "debug", "info", "warn" or "error".
  bool timestamps = true;
};

/// Which events an objective counts as good and bad.
enum class Indicator : std::uint8_t {
  kDatagrams,  ///< Balancer: callers' datagrams forwarded, or dropped.
  kRequests,   ///< Sidecar: requests run, or answered "not run" or "unknown".
  kFlows,      ///< Sidecar: new flows accepted, or refused.
};

/// A service-level objective: the target share of good events. The SLO report
/// shows the burn rate of its error budget.
struct ObjectiveSettings {
  std::string name;
  Indicator indicator = Indicator::kDatagrams;
  double target = 0.999;
};

/// Section "balancer": a process that receives datagrams from callers and
/// forwards them to sidecars.
struct BalancerSettings {
  BalancerId id{};
  Endpoint frames;  ///< Traffic thread i receives frames on port + i.
  /// Upper 16 bits of the local addresses on which callers' datagrams arrive;
  /// the lower ones are those of the service address. If absent, the service
  /// address itself is bound.
  std::optional<std::uint32_t> entry_prefix;
  std::uint32_t threads = 1;              ///< Traffic threads.
  std::uint32_t hint_capacity = 1 << 19;  ///< Entries of the hint cache.
};

/// Section "sidecar": a process that owns the flows of one upstream and passes
/// their datagrams to it.
struct SidecarSettings {
  UpstreamId id{};
  ServiceId service{};
  Endpoint frames;          ///< Where it receives frames.
  Endpoint upstream;        ///< Where the upstream receives datagrams.
  std::uint32_t slots = 1;  ///< Requests that the upstream runs concurrently.
  double weight = 1.0;  ///< Share of new flows, relative to other upstreams.
  /// Time after the start during which the load is increased to the full share.
  std::chrono::milliseconds slow_start{0};
  /// URL of the upstream's health endpoint; its answer is only a hint. Empty:
  /// none.
  std::string health;
};

/// Settings of one cowslipd process.
struct DaemonSettings {
  std::string instance;  ///< Unique name of the process.
  std::string data_center;
  StoreSettings store;
  link::FrameKey frame_key{};  ///< Authenticates frames and relay streams.
  LogSettings log;
  Endpoint http;                ///< Where the HTTP server listens.
  Endpoint control;             ///< Where peers open relay streams.
  std::vector<Endpoint> peers;  ///< Control endpoints of the first peers.
  /// Limit of the drain of a sidecar after a stop signal.
  std::chrono::milliseconds drain_timeout{std::chrono::seconds(30)};
  std::vector<ObjectiveSettings> objectives;
  std::optional<BalancerSettings> balancer;
  std::optional<SidecarSettings> sidecar;
};

/// Parses and validates the settings of a daemon.
/// @param file name of the source, for the reason: "file:line: field".
/// @return std::nullopt if any setting is invalid.
std::optional<DaemonSettings> ParseDaemonSettings(
    std::string_view text, std::string_view file,
    LastReason<SettingsError>& reason);

/// Reads a file and parses it as ParseDaemonSettings() does.
std::optional<DaemonSettings> LoadDaemonSettings(
    const std::string& path, LastReason<SettingsError>& reason);

}  // namespace cowslip::settings
