#pragma once

#include <deque>
#include <utility>

#include "cowslip/base.h"
#include "cowslip/link.h"

namespace cowslip::engine {

/// Effect: send a frame to another process.
struct SendFrame {
  Endpoint to;
  link::FrameHeader header;
  ByteView payload;
};

/// Effect: fetch a newer ticket from the process at `from`.
struct FetchTicket {
  TicketNumber number{};
  Endpoint from;
};

/// Owns the payload bytes that an engine generated, until the effects are
/// cleared.
class Scratch {
 public:
  /// @return a view of the bytes, valid until Clear().
  ByteView Store(Bytes bytes) {
    buffers_.push_back(std::move(bytes));
    return buffers_.back();
  }
  void Clear() { buffers_.clear(); }

 private:
  std::deque<Bytes> buffers_;
};

}  // namespace cowslip::engine
