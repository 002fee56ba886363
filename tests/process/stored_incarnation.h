#pragma once

#include <cstdint>

#include "cowslip/consul.h"
#include "cowslip/membership.h"
#include "tests/process/deployment.h"

namespace cowslip::testing {

/// @return the incarnation that the store has announced for an upstream of
///     service 1, 0 if there is none.
inline std::uint64_t StoredIncarnation(const Deployment& deployment, int id) {
  LastReason<consul::ConsulError> reason;
  consul::StoreClientOptions options;
  options.urls = {"http://" + deployment.site().Store()};
  options.token = "test";
  auto store = consul::StoreClient::Create(options, reason);
  if (!store) return 0;
  const auto found = store->Get(
      membership::AnnouncementKey(ServiceId(1), UpstreamId(id)), reason);
  if (!found || !found->value) return 0;
  LastReason<membership::MembershipError> ignored;
  const auto announcement =
      membership::DecodeAnnouncement(found->value->value, ignored);
  return announcement ? Raw(announcement->upstream.incarnation) : 0;
}

/// Kills and starts a sidecar of service 1.
/// @return the incarnation that the new process has claimed, 0 if none.
inline std::uint64_t RestartAndClaim(Deployment& deployment, int id) {
  const auto name = "sidecar-" + std::to_string(id);
  const auto before = StoredIncarnation(deployment, id);
  deployment.Kill(name);
  deployment.Restart(name);
  const bool claimed =
      Eventually([&] { return StoredIncarnation(deployment, id) > before; });
  return claimed ? StoredIncarnation(deployment, id) : 0;
}

}  // namespace cowslip::testing
