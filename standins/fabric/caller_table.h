#pragma once

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

#include "cowslip/base/clock.h"
#include "cowslip/base/endpoint.h"
#include "cowslip/base/last_reason.h"
#include "standins/common/udp_socket.h"

namespace cowslip::standin {

/// A VIP and its socket towards callers.
struct Vip {
  Endpoint endpoint;
  std::shared_ptr<const UdpSocket> socket;
};

/// One caller of one VIP and its socket towards the balancers.
struct CallerFlow {
  Endpoint caller;
  const Vip* vip = nullptr;
  std::shared_ptr<const UdpSocket> socket;
  TimePoint last_used;
};

/// The active callers by their address and the VIP that they use.
class CallerTable {
 public:
  using Key = std::pair<Endpoint, Endpoint>;

  /// @return nullptr if the caller is unknown.
  CallerFlow* Find(const Endpoint& caller, const Endpoint& vip);
  /// @return nullptr if no flow has this socket.
  CallerFlow* FindBySocket(int fd);
  /// Opens a socket for a new caller.
  /// @return nullptr if the table is full or no socket can be opened.
  CallerFlow* Add(const Endpoint& caller, const Vip& vip, TimePoint now);
  /// Removes the flows last used before the given time.
  void RemoveIdle(TimePoint before);

  std::size_t size() const { return flows_.size(); }

 private:
  std::map<Key, CallerFlow> flows_;
  std::unordered_map<int, CallerFlow*> by_socket_;
};

}  // namespace cowslip::standin
