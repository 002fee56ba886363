#pragma once

#include <poll.h>

#include <map>
#include <memory>
#include <vector>

#include "cowslip/link.h"
#include "cowslip/relay.h"

namespace cowslip::daemon {

/// Does the stream I/O of a relay::Node: accepts and opens streams to peers,
/// passes received messages to the node, and sends its messages.
class RelayTransport {
 public:
  static std::unique_ptr<RelayTransport> Create(
      const relay::NodeOptions& options, const link::FrameKey& key,
      LastReason<link::LinkError>& reason);

  /// Waits until a stream or the event queue is readable, and passes received
  /// messages and stream events to the node.
  /// @param event_fd descriptor of the event queue; ends the wait when it is
  ///     readable.
  void Poll(int event_fd, std::chrono::milliseconds timeout);
  /// Applies the effects that concern streams (messages, closes and opens) and
  /// leaves the others in effects().
  void ApplyEffects();

  relay::Node& node() { return node_; }
  relay::Effects& effects() { return effects_; }
  /// @return bytes received and sent on all streams so far.
  link::StreamBytes bytes() const;

 private:
  /// A stream to a peer.
  struct Stream {
    std::unique_ptr<link::LineStream> connection;
    bool outgoing = false;
    bool reported_up = false;  ///< OnStreamUp() was called.
    TimePoint started{};
  };

  RelayTransport(const relay::NodeOptions& options, const link::FrameKey& key,
                 link::StreamListener listener, TimePoint now);
  void Accept(TimePoint now);
  void Open(const relay::OpenStream& open, TimePoint now);
  void Read(relay::StreamId id, TimePoint now);
  void Close(relay::StreamId id);
  void CloseTimedOutOpens(TimePoint now);
  void FlushAll(TimePoint now);

  relay::Node node_;
  link::FrameKey key_;
  link::StreamListener listener_;
  relay::Effects effects_;
  std::map<relay::StreamId, Stream> streams_;
  std::uint64_t next_incoming_;
  link::StreamBytes closed_bytes_;  ///< Bytes of closed streams.
  std::vector<pollfd> polled_;
};

}  // namespace cowslip::daemon
