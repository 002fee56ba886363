#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cowslip/relay/effects.h"
#include "cowslip/relay/node_options.h"
#include "cowslip/relay/store_replica.h"
#include "cowslip/relay/ticket_log.h"

namespace cowslip::relay {

/// A listing of the store as of one index.
struct Listing {
  std::vector<TicketText> tickets;
  std::vector<StoreEntry> items;
  std::uint64_t index = 0;
};

/// One process's part in spreading tickets and announcements.
///
/// A few processes of a data centre watch the store: those that rank first by
/// a hash of their names among the ones known, and those that find no way to
/// one of them. Any number of them is safe. The rest follow one another in a
/// tree. Every stream carries news both ways, so that what one process knows
/// reaches all that are connected, also while the store is away.
class Node {
 public:
  Node(const NodeOptions& options, TimePoint now);

  /// @param complete whether the listing holds items too, not tickets only.
  void OnListing(const Listing& listing, bool complete, Effects& effects);
  /// The store didn't answer.
  void OnStoreLost(Effects& effects);
  /// Instance records read from the store after StoreRequests::read_peers.
  void OnPeersRead(const std::vector<Peer>& peers);
  /// A stream is open. @param outgoing whether OpenStream asked for it.
  void OnStreamUp(StreamId link, bool outgoing, TimePoint now,
                  Effects& effects);
  void OnStreamDown(StreamId link, TimePoint now, Effects& effects);
  void OnMessage(StreamId link, const Message& message, TimePoint now,
                 Effects& effects);
  /// A data frame told of a ticket.
  void OnTicketAnnounced(TicketNumber number, TimePoint now, Effects& effects);
  /// Call it several times a second.
  void OnTick(TimePoint now, Effects& effects);

  const TicketLog& tickets() const { return tickets_; }
  const StoreReplica& items() const { return items_; }
  bool watching() const { return watching_; }
  /// @return hops to a process that hears the store.
  StoreDistance store_distance() const { return DepthWithout(std::nullopt); }
  /// @return open streams, both ways.
  std::size_t stream_count() const;

 private:
  struct Link {
    Endpoint control;
    bool outgoing = false;
    bool up = false;
    bool greeted = false;
    Peer peer;
    Subscription interest;
    TicketNumber ticket{};
    std::uint64_t index = 0;
    StoreDistance store_distance = kNoStorePath;
    TimePoint heard{};
    TimePoint beaten{};
  };

  void Handle(StreamId id, Link& link, const Hello& hello, Effects& effects);
  void Handle(StreamId id, Link& link, const Heartbeat& beat, Effects& effects);
  void Handle(StreamId id, Link& link, const TicketRequest& want,
              Effects& effects);
  void Handle(StreamId id, Link& link, const PeerList& peers, Effects& effects);
  void Handle(StreamId id, Link& link, const TicketText& text,
              Effects& effects);
  void Handle(StreamId id, Link& link, const StoreEntry& item,
              Effects& effects);

  bool ApplyTicket(const TicketText& text, Effects& effects);
  void PushTickets(StreamId id, Link& link, Effects& effects);
  void PushItem(const StoreEntry& item, Effects& effects);
  void PushItems(StreamId id, Link& link, Effects& effects);
  void NoteItem(const StoreEntry& item);
  void SendHello(StreamId id, Effects& effects);
  void SendPeers(StreamId id, const Link& link, Effects& effects);

  void ReviewLinks(TimePoint now, Effects& effects);
  void ReviewWatch(TimePoint now, Effects& effects);
  void ReviewParents(TimePoint now, Effects& effects);
  void ReviewNotice(TimePoint now, Effects& effects);
  bool ShouldWatch(TimePoint now);
  void ReviewPlace(TimePoint now, Effects& effects);
  std::vector<Endpoint> Preferred() const;
  void OpenTo(const Endpoint& control, Effects& effects);
  void DropSurplus(TimePoint now, Effects& effects);
  StoreDistance DepthWithout(std::optional<StreamId> excluded) const;
  std::size_t outgoing() const;
  std::size_t parents() const;
  std::vector<Peer> KnownPeers() const;
  std::vector<Endpoint> Candidates() const;
  bool IsLinked(const Endpoint& control) const;
  Duration Jitter(Duration base);

  NodeOptions options_;
  std::mt19937_64 random_;
  TicketLog tickets_;
  StoreReplica items_;
  std::map<std::string, Peer> peers_;    ///< From instance records, by key.
  std::map<std::string, Peer> hearsay_;  ///< Named by others, by instance.
  std::optional<std::size_t> position_;  ///< Among them, until they change.
  std::map<StreamId, Link> links_;
  std::uint64_t next_link_ = 1;
  bool watching_ = false;
  bool store_heard_ = false;
  bool peers_asked_ = false;
  bool peers_known_ = false;  ///< The list was read, so that ranks are known.
  std::size_t attempt_ = 0;
  Duration retry_;
  TimePoint next_attempt_;
  TimePoint next_move_;
  TimePoint linked_at_;  ///< Last instant with a stream or the store.
  TimePoint rooted_at_;  ///< Last instant with a way to the store.
  Duration lonely_patience_;
  TicketNumber noticed_{};
  TimePoint noticed_at_;
  TimePoint notice_review_;
};

}  // namespace cowslip::relay
