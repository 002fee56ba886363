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

}  // namespace cowslip::testing
