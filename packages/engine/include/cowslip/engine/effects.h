#pragma once

#include <deque>
#include <utility>

#include "cowslip/base.h"
#include "cowslip/link.h"

namespace cowslip::engine {

/// Send a frame to another process.
struct SendFrame {
  Endpoint to;
  link::FrameHeader header;
  ByteView payload;
};

/// The sender at `from` has a newer ticket: fetch it.
struct FetchTicket {
  TicketNumber number{};
  Endpoint from;
};

/// Owns the bytes that an engine generated, until the effects are cleared.
class Scratch {
 public:
  ByteView Keep(Bytes bytes) {
    buffers_.push_back(std::move(bytes));
    return buffers_.back();
  }
  void Clear() { buffers_.clear(); }

 private:
  std::deque<Bytes> buffers_;
};

}  // namespace cowslip::engine
