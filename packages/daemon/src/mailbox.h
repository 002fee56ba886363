#pragma once

#include <mutex>
#include <variant>
#include <vector>

#include "cowslip/link.h"
#include "cowslip/relay.h"

namespace cowslip::daemon {

/// The store was listed. @see relay::Node::OnListing
struct ListingArrived {
  relay::Listing listing;
  bool complete = false;
};

/// The watch failed.
struct StoreLost {
  std::string reason;
};

/// The instance records of the data centre were read.
struct PeersArrived {
  std::vector<relay::Peer> peers;
};

using StoreEvent = std::variant<ListingArrived, StoreLost, PeersArrived>;

/// Hands events from the store's threads to the control thread.
class Mailbox {
 public:
  Mailbox();

  /// Callable from any thread.
  void Post(StoreEvent event);
  std::vector<StoreEvent> Take();
  /// @return a descriptor that is readable while events wait.
  int fd() const { return wake_.get(); }

 private:
  link::FileDescriptor wake_;
  std::mutex mutex_;
  std::vector<StoreEvent> events_;
};

}  // namespace cowslip::daemon
