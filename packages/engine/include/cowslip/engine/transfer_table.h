#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "cowslip/base.h"
#include "cowslip/coap.h"
#include "cowslip/flow.h"

namespace cowslip::engine {

/// The block-wise downloads (RFC 7959) that began at this upstream.
///
/// If a later block of a download came from another upstream than the first
/// one, the caller could assemble two versions of a resource. So the caller of
/// a download that began at another sidecar has to restart it, see
/// MakeRestartResponse().
class TransferTable {
 public:
  /// Records the download if the request is for the first block.
  /// @return whether the download of this request began at this upstream; true
  ///     for requests that are no downloads.
  bool StartedHere(flow::FlowSlot slot, const coap::Message& request);
  void Forget(flow::FlowSlot slot) { transfers_.erase(slot); }

 private:
  /// Downloads of one flow at the same time; the oldest is evicted.
  static constexpr std::size_t kMaxPerFlow = 4;
  struct Transfers {
    std::array<std::uint64_t, kMaxPerFlow> targets{};  ///< Hashes of the URIs.
    std::size_t next = 0;
  };

  std::unordered_map<flow::FlowSlot, Transfers> transfers_;
};

/// @return the response that makes a caller restart a download: 2.05 for the
///     requested block, without payload, with an entity tag that no resource
///     has. The caller detects a change of the resource during the download and
///     requests block 0 again (RFC 7959 section 2.4; libcoap does so by
///     itself). An error code would abort the download.
coap::Message MakeRestartResponse(const coap::Message& request);

}  // namespace cowslip::engine
