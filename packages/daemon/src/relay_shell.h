#pragma once

#include <poll.h>

#include <map>
#include <memory>
#include <vector>

#include "cowslip/link.h"
#include "cowslip/relay.h"

namespace cowslip::daemon {

/// Carries the messages of a relay::Node over streams.
class RelayShell {
 public:
  static std::unique_ptr<RelayShell> Create(
      const relay::NodeOptions& options, const link::FrameKey& key,
      LastReason<link::LinkError>& reason);

  /// Waits for streams or the mailbox, and hands what came to the node.
  /// @param mailbox descriptor that ends the wait when it is readable.
  void Poll(int mailbox, std::chrono::milliseconds timeout);
  /// Carries out what concerns streams, and leaves the rest.
  void CarryOut();

  relay::Node& node() { return node_; }
  relay::Effects& effects() { return effects_; }
  /// @return bytes of all streams so far.
  link::StreamBytes bytes() const;

 private:
  struct Stream {
    std::unique_ptr<link::LineStream> lines;
    bool outgoing = false;
    bool announced = false;  ///< The node knows that it is open.
    TimePoint started{};
  };

  RelayShell(const relay::NodeOptions& options, const link::FrameKey& key,
             link::StreamListener listener, TimePoint now);
  void Accept(TimePoint now);
  void Open(const relay::OpenStream& open, TimePoint now);
  void Read(relay::StreamId id, TimePoint now);
  void Close(relay::StreamId id);
  void ExpireOpening(TimePoint now);
  void FlushAll(TimePoint now);

  relay::Node node_;
  link::FrameKey key_;
  link::StreamListener listener_;
  relay::Effects effects_;
  std::map<relay::StreamId, Stream> streams_;
  std::uint64_t next_incoming_;
  link::StreamBytes closed_;  ///< Bytes of streams that are gone.
  std::vector<pollfd> polled_;
};

}  // namespace cowslip::daemon
