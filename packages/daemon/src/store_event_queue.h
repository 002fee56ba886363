#pragma once

#include <mutex>
#include <variant>
#include <vector>

#include "cowslip/link.h"
#include "cowslip/relay.h"

namespace cowslip::daemon {

/// Result of listing the store. @see relay::Node::OnListing
struct ListingReceived {
  relay::Listing listing;
  bool complete = false;  ///< False if it holds the tickets only.
};

/// The store did not answer a request of the watch.
struct StoreUnreachable {
  std::string reason;
};

/// The instance records of the data centre, which name the peers.
struct PeersReceived {
  std::vector<relay::Peer> peers;
};

/// Event for the control thread.
using StoreEvent =
    std::variant<ListingReceived, StoreUnreachable, PeersReceived>;

/// Thread-safe queue of events from the store threads to the control thread.
class StoreEventQueue {
 public:
  StoreEventQueue();

  /// Callable from any thread.
  void Post(StoreEvent event);
  /// @return all queued events, oldest first; empties the queue.
  std::vector<StoreEvent> Take();
  /// @return a descriptor that is readable while the queue isn't empty.
  int fd() const { return wake_.get(); }

 private:
  link::FileDescriptor wake_;
  std::mutex mutex_;
  std::vector<StoreEvent> events_;
};

}  // namespace cowslip::daemon
