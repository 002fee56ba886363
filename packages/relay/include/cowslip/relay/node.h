#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cowslip/relay/effects.h"
#include "cowslip/relay/item_table.h"
#include "cowslip/relay/listing.h"
#include "cowslip/relay/node_options.h"
#include "cowslip/relay/return_detector.h"
#include "cowslip/relay/ticket_log.h"

namespace cowslip::relay {

/// One process's part in the distribution of tickets and store entries.
///
/// A few processes of a data centre watch the store: those that rank first by a
/// hash of their names among the known peers, and those that have no path to
/// one of them. Any number of watchers is safe. The other processes receive
/// changes from their parents in a tree. A stream carries changes in both
/// directions, so that a change reaches all connected processes also while the
/// store is unavailable.
class Node {
 public:
  Node(const NodeOptions& options, TimePoint now);

  /// Handles a listing of the store.
  /// @param complete whether the listing holds entries too, not only tickets.
  void OnListing(const Listing& listing, bool complete, Effects& effects);
  /// Handles a failed read of the store.
  void OnStoreLost(Effects& effects);
  /// Handles the instance records that were read after
  /// StoreRequests::read_peers.
  void OnPeersRead(const std::vector<Peer>& peers);
  /// Handles a stream that is now open.
  /// @param outgoing whether OpenStream asked for it.
  void OnStreamUp(StreamId stream, bool outgoing, TimePoint now,
                  Effects& effects);
  /// Handles a stream that was closed or could not be opened.
  void OnStreamDown(StreamId stream, TimePoint now, Effects& effects);
  /// Handles a message that arrived on a stream.
  void OnMessage(StreamId stream, const Message& message, TimePoint now,
                 Effects& effects);
  /// Handles the ticket number that a data frame carried.
  void OnTicketAnnounced(TicketNumber number, TimePoint now, Effects& effects);
  /// Opens and closes streams and sends what is due. Call it several times a
  /// second.
  void OnTick(TimePoint now, Effects& effects);

  const TicketLog& tickets() const { return tickets_; }
  const StoreReplica& items() const { return items_; }
  /// @return whether this process watches the store.
  bool watching() const { return watching_; }
  /// @return the number of streams to the nearest process that reads the store.
  StoreDistance store_distance() const {
    return DistanceExcluding(std::nullopt);
  }
  /// @return the number of open streams, in both directions.
  std::size_t stream_count() const;

 private:
  /// A stream and the state of the process at its other end.
  struct Stream {
    Endpoint control;  ///< Set if outgoing.
    bool outgoing = false;
    bool up = false;
    bool ready = false;  ///< A Hello has arrived.
    Peer peer;
    Subscription interest;
    TicketPosition ticket;              ///< Known to be in force there.
    StorePosition position;             ///< Of the entries known to be there.
    StoreDistance hops = kNoStorePath;  ///< Store distance of the peer.
    TimePoint last_seen{};
    TimePoint last_heartbeat{};
  };

  void Handle(StreamId id, Stream& stream, const Hello& hello,
              Effects& effects);
  void Handle(StreamId id, Stream& stream, const Heartbeat& heartbeat,
              Effects& effects);
  void Handle(StreamId id, Stream& stream, const TicketRequest& want,
              Effects& effects);
  void Handle(StreamId id, Stream& stream, const PeerList& peers,
              Effects& effects);
  void Handle(StreamId id, Stream& stream, const TicketText& text,
              Effects& effects);
  void Handle(StreamId id, Stream& stream, const StoreEntry& entry,
              Effects& effects);

  /// @return whether the ticket in force changed.
  bool ApplyTicket(const TicketText& text, Effects& effects);
  void ApplyStoredTickets(const std::vector<TicketText>& stored, bool complete,
                          Effects& effects);
  /// Reports the ticket in force unless it is still the previous one, and the
  /// ticket that was applied if it was rejected.
  void ReportChange(const TicketPosition& previous, TicketNumber applied,
                    const LastReason<ticket::TicketError>& reason,
                    Effects& effects);
  /// Handles the tickets that were read because of noticed_ticket_: if the
  /// store doesn't have it, it is lost, and waiting for it would not end.
  void ForgetMissingTicket(const std::vector<TicketText>& stored);
  /// Sends the tickets that the other end doesn't have.
  void PushTickets(StreamId id, Stream& stream, Effects& effects);
  /// Sends an entry to all processes that selected it and don't have it.
  void PushEntry(const StoreEntry& entry, Effects& effects);
  /// Sends all entries that the other end selected and doesn't have.
  void PushEntries(StreamId id, Stream& stream, Effects& effects);
  /// Updates the known peers from an entry that is an instance record.
  void UpdatePeers(const StoreEntry& entry);
  void SendHello(StreamId id, Effects& effects);
  /// Sends a leaf the peers that it can open streams to.
  void SendPeers(StreamId id, const Stream& stream, Effects& effects);

  // Steps of OnTick() and their helpers.
  void MaintainStreams(TimePoint now, Effects& effects);
  void StartOrStopWatch(TimePoint now, Effects& effects);
  void CheckOwnRecord(TimePoint now, Effects& effects);
  void OpenMissingStream(TimePoint now, Effects& effects);
  void ReadMissingTicket(TimePoint now, Effects& effects);
  bool ShouldWatch(TimePoint now);
  void OpenPreferredStream(TimePoint now, Effects& effects);
  std::vector<Endpoint> PreferredParents() const;
  void OpenStreamTo(const Endpoint& control, Effects& effects);
  void CloseSurplusStream(TimePoint now, Effects& effects);
  StoreDistance DistanceExcluding(std::optional<StreamId> except) const;
  std::size_t outgoing() const;
  std::size_t parents() const;
  std::vector<Peer> KnownPeers() const;
  std::vector<Endpoint> StreamCandidates() const;
  bool HasStreamTo(const Endpoint& control) const;
  Duration AddJitter(Duration base);

  NodeOptions options_;
  std::mt19937_64 random_;
  TicketLog tickets_;
  StoreReplica items_;
  ReturnDetector returns_;
  std::map<std::string, Peer> peers_;  ///< From instance records, by key.
  /// From OnPeersRead() and PeerList messages, by instance.
  std::map<std::string, Peer> reported_peers_;
  std::optional<std::size_t> own_rank_;  ///< Unset when the peers change.
  std::map<StreamId, Stream> streams_;
  std::uint64_t next_stream_ = 1;
  bool watching_ = false;
  bool store_answered_ = false;  ///< The last read of the store succeeded.
  bool peers_requested_ = false;
  bool peers_read_ = false;  ///< The list was read, so that ranks are valid.
  std::size_t next_candidate_ = 0;  ///< Index into StreamCandidates().
  Duration retry_delay_;
  TimePoint next_open_;
  TimePoint next_reparent_;
  TimePoint last_connected_;   ///< Last tick with an open stream or the store.
  TimePoint last_store_path_;  ///< Last tick with a path to the store.
  Duration unconnected_timeout_;
  TicketNumber noticed_ticket_{};    ///< Highest number in a data frame.
  TicketNumber requested_ticket_{};  ///< noticed_ticket_ at the last read.
  TicketNumber lost_ticket_{};       ///< Highest number noticed but not stored.
  /// Tickets in force that the last listing contradicted.
  std::optional<TicketPosition> contradicted_;
  TimePoint noticed_at_;
  TimePoint next_ticket_read_;
  TimePoint next_record_check_;
};

}  // namespace cowslip::relay
