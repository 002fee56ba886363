#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "cowslip/base.h"
#include "cowslip/coap.h"
#include "cowslip/flow.h"

namespace cowslip::engine {

/// Knows which block-wise downloads (RFC 7959) began at this upstream.
///
/// A block above the first of a download that began elsewhere could mix two
/// versions of a document, so the caller is made to start over.
class TransferTable {
 public:
  /// Notes the first request of a download, and judges the later ones.
  /// @return whether the download of this request began here.
  bool BeganHere(flow::FlowSlot slot, const coap::Message& request);
  void Forget(flow::FlowSlot slot) { transfers_.erase(slot); }

 private:
  /// Downloads of one flow at the same time; the oldest gives way.
  static constexpr std::size_t kPerFlow = 4;
  struct Transfers {
    std::array<std::uint64_t, kPerFlow> targets{};
    std::size_t next = 0;
  };

  std::unordered_map<flow::FlowSlot, Transfers> transfers_;
};

/// The response that makes a caller start a download over: 2.05 for the block
/// asked for, without payload, under an entity tag that no document has. A
/// caller sees the document change half-way and asks for block 0 again (RFC
/// 7959 section 2.4; libcoap does so by itself). An error code would end its
/// download.
coap::Message MakeStartOver(const coap::Message& request);

}  // namespace cowslip::engine
