#include "cowslip/settings/daemon_settings.h"

#include <array>

#include "readers.h"

namespace cowslip::settings {
namespace {

using std::chrono::milliseconds;
using yaml::MapReader;
using yaml::YamlError;

constexpr std::uint64_t kMaxId = 1'000'000;
constexpr std::uint64_t kMaxThreads = 64;
constexpr std::uint64_t kMaxHintCapacity = 1 << 24;
constexpr std::uint64_t kMaxSlots = 100'000;
constexpr double kMinWeight = 0.001;
constexpr double kMaxWeight = 1000.0;
constexpr yaml::Range<milliseconds> kDrainRange{std::chrono::seconds(1),
                                                std::chrono::hours(24)};
constexpr yaml::Range<milliseconds> kSlowStartRange{milliseconds(0),
                                                    std::chrono::minutes(30)};

std::uint32_t ReadCount(MapReader& reader, const std::string& key,
                        std::uint64_t max, std::uint64_t fallback) {
  return static_cast<std::uint32_t>(reader.Number(key, {1, max}, fallback));
}

std::uint32_t ReadId(MapReader& reader, const std::string& key) {
  return static_cast<std::uint32_t>(reader.Number(key, {1, kMaxId}));
}

LogSettings ReadLog(MapReader& parent) {
  auto reader = parent.Child("log", false);
  LogSettings log;
  constexpr std::array<const char*, 4> kLevels{"debug", "info", "warn",
                                               "error"};
  constexpr std::size_t kInfo = 1;
  const auto level =
      reader.Choice("level", {"debug", "info", "warn", "error"}, kInfo);
  log.level = kLevels[level];
  log.timestamps = reader.Flag("timestamps", true);
  reader.Finish();
  return log;
}

link::FrameKey ReadFrameKey(MapReader& reader) {
  const auto text = reader.Text("frame_key");
  LastReason<link::LinkError> reason;
  const auto key = link::ParseFrameKey(text, reason);
  if (!key) {
    reader.SetError(YamlError::kOutOfRange, "frame_key", reason.Message());
  }
  return key.value_or(link::FrameKey{});
}

BalancerSettings ReadBalancer(MapReader& parent) {
  auto reader = parent.Child("balancer", true);
  BalancerSettings balancer;
  balancer.id = BalancerId(ReadId(reader, "id"));
  balancer.frames = reader.Address("frames");
  if (reader.Has("entry_prefix")) {
    balancer.entry_prefix = ParseAddress(reader.Text("entry_prefix"));
    if (!balancer.entry_prefix) {
      reader.SetError(YamlError::kWrongType, "entry_prefix",
                      "address expected");
    }
  }
  balancer.threads =
      ReadCount(reader, "threads", kMaxThreads, balancer.threads);
  balancer.hint_capacity = ReadCount(reader, "hint_capacity", kMaxHintCapacity,
                                     balancer.hint_capacity);
  reader.Finish();
  return balancer;
}

SidecarSettings ReadSidecar(MapReader& parent) {
  auto reader = parent.Child("sidecar", true);
  SidecarSettings sidecar;
  sidecar.id = UpstreamId(ReadId(reader, "id"));
  sidecar.service = ServiceId(ReadId(reader, "service"));
  sidecar.frames = reader.Address("frames");
  sidecar.upstream = reader.Address("upstream");
  sidecar.slots = ReadCount(reader, "slots", kMaxSlots, sidecar.slots);
  sidecar.weight =
      reader.Real("weight", {kMinWeight, kMaxWeight}, sidecar.weight);
  sidecar.slow_start =
      reader.Time("slow_start", kSlowStartRange, sidecar.slow_start);
  if (reader.Has("health")) sidecar.health = reader.Text("health");
  reader.Finish();
  return sidecar;
}

std::vector<Endpoint> ReadPeers(MapReader& reader) {
  std::vector<Endpoint> peers;
  for (const auto& node : reader.List("peers", false)) {
    const auto peer = ParseEndpoint(node.as<std::string>(""));
    if (!peer) reader.SetError(YamlError::kWrongType, "peers", "address:port");
    peers.push_back(peer.value_or(Endpoint{}));
  }
  return peers;
}

std::vector<ObjectiveSettings> ReadObjectives(MapReader& reader) {
  constexpr double kMinTarget = 0.5;
  constexpr double kMaxTarget = 0.99999;
  std::vector<ObjectiveSettings> objectives;
  std::size_t index = 0;
  for (const auto& node : reader.List("objectives", false)) {
    auto element = reader.Element(node, "objectives", index++);
    ObjectiveSettings objective;
    objective.name = element.Text("name");
    objective.indicator = static_cast<Indicator>(
        element.Choice("indicator", {"datagrams", "requests", "flows"}));
    objective.target = element.Real("target", {kMinTarget, kMaxTarget});
    objectives.push_back(std::move(objective));
    element.Finish();
  }
  return objectives;
}

DaemonSettings ReadDaemon(MapReader& reader) {
  DaemonSettings settings;
  settings.instance = reader.Text("instance");
  settings.data_center = reader.Text("data_center");
  settings.store = ReadStore(reader);
  settings.frame_key = ReadFrameKey(reader);
  settings.log = ReadLog(reader);
  settings.http = reader.Address("http");
  settings.control = reader.Address("control");
  settings.peers = ReadPeers(reader);
  settings.drain_timeout =
      reader.Time("drain_timeout", kDrainRange, settings.drain_timeout);
  settings.objectives = ReadObjectives(reader);
  if (reader.Has("balancer")) settings.balancer = ReadBalancer(reader);
  if (reader.Has("sidecar")) settings.sidecar = ReadSidecar(reader);
  if (!settings.balancer && !settings.sidecar) {
    reader.SetError(YamlError::kMissingKey, "balancer", "or sidecar");
  }
  reader.Finish();
  return settings;
}

}  // namespace

std::optional<DaemonSettings> ParseDaemonSettings(
    std::string_view text, std::string_view file,
    LastReason<SettingsError>& reason) {
  LastReason<YamlError> yaml_reason;
  const auto node = yaml::ParseMap(text, file, yaml_reason);
  DaemonSettings settings;
  if (node) {
    MapReader reader(*node, file, "", yaml_reason);
    settings = ReadDaemon(reader);
  }
  if (yaml_reason.ok()) return settings;
  reason.Set(SettingsError::kInvalid, yaml_reason.Message());
  return std::nullopt;
}

std::optional<DaemonSettings> LoadDaemonSettings(
    const std::string& path, LastReason<SettingsError>& reason) {
  const auto text = ReadFile(path, reason);
  if (!text) return std::nullopt;
  return ParseDaemonSettings(*text, path, reason);
}

}  // namespace cowslip::settings
