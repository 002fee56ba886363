#pragma once

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <vector>

#include "cowslip/membership.h"

namespace cowslip::test {

/// Simulation of the members of one service, a store and a lossy network in
/// virtual time.
class LivenessSimulation {
 public:
  struct Options {
    std::uint64_t seed = 1;
    std::size_t members = 7;
    std::size_t data_centers = 2;  ///< Member i is in i % data_centers.
    double loss = 0.02;            ///< Share of frames that are lost.
    Duration lease{std::chrono::seconds(5)};
  };
  /// The announcement of a member in the store.
  struct Record {
    Incarnation incarnation{1};
    bool dead = false;
    std::size_t evictions = 0;  ///< Deaths recorded so far.
  };

  explicit LivenessSimulation(const Options& options);

  void Run(Duration time);
  void Kill(std::size_t member) { members_[member].alive = false; }
  void Pause(std::size_t member) { members_[member].paused = true; }
  void Continue(std::size_t member) { members_[member].paused = false; }
  /// Restarts a member under the next incarnation.
  void Restart(std::size_t member);
  /// Partitions the network. @param reaches whether a frame from the first
  ///     member reaches the second.
  void Cut(std::function<bool(std::size_t, std::size_t)> reaches) {
    reaches_ = std::move(reaches);
  }
  void SetStore(bool up) { store_up_ = up; }
  /// Makes a member reply "unreachable" to every indirect probe.
  void SetFaultyWitness(std::size_t member) { faulty_witness_ = member; }

  const Record& record(std::size_t member) const { return store_[member]; }
  std::size_t deaths() const;
  std::size_t record_attempts() const { return record_attempts_; }
  std::size_t record_writes() const { return record_writes_; }
  std::size_t frames() const { return frames_; }
  /// @return number of ticks at which a member whose death was recorded during
  ///     its pause accepted work.
  std::size_t stale_accepts() const { return stale_accepts_; }
  bool open(std::size_t member) const {
    return members_[member].gate.admits_work();
  }
  std::mt19937_64& generator() { return generator_; }

 private:
  enum class Kind : std::uint8_t {
    kProbe,
    kAck,
    kProbeRequest,
    kProbeReply,
    kView,
    kRecord,
    kAnnouncementCheck
  };
  /// A frame, a new view or a store operation on its way.
  struct Message {
    TimePoint at{};
    std::uint64_t number = 0;
    Kind kind = Kind::kProbe;
    std::size_t from = 0;
    std::size_t to = 0;
    membership::ConfirmationId confirmation_id{};
    bool reachable = false;
    membership::ViewPtr view{};
    membership::LeaseCheckId check_id{};

    bool operator<(const Message& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };
  struct Member {
    Upstream upstream;
    membership::LivenessMonitor monitor;
    membership::LeaseGate gate;
    bool alive = true;
    bool paused = false;
    /// Its death was recorded during its pause.
    bool dead_while_paused = false;
  };

  membership::LivenessMonitor MakeMonitor(std::size_t member);
  void Post(Message message, Duration delay);
  void SendFrame(Message message);
  void Deliver(const Message& message);
  void ExecuteEffects(std::size_t member);
  void ApplyRecord(const Message& message);
  void CheckAnnouncement(const Message& message);
  void PublishViews();
  void Tick();
  Duration Latency();

  Options options_;
  std::mt19937_64 generator_;
  TimePoint now_;
  std::uint64_t epoch_ = 0;
  std::uint64_t last_number_ = 0;
  ticket::TicketState tickets_;
  std::vector<Member> members_;
  std::vector<Record> store_;
  std::priority_queue<Message> queue_;
  membership::LivenessEffects effects_;
  std::function<bool(std::size_t, std::size_t)> reaches_;
  std::optional<std::size_t> faulty_witness_;
  bool store_up_ = true;
  std::size_t record_attempts_ = 0;
  std::size_t record_writes_ = 0;
  std::size_t frames_ = 0;
  std::size_t stale_accepts_ = 0;
};

}  // namespace cowslip::test
