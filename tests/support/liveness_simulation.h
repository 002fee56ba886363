#pragma once

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <vector>

#include "cowslip/membership.h"

namespace cowslip::test {

/// Members of one service, a store and a lossy network in virtual time.
class LivenessSimulation {
 public:
  struct Options {
    std::uint64_t seed = 1;
    std::size_t members = 7;
    std::size_t data_centers = 2;  ///< Member i is in i % data_centers.
    double loss = 0.02;
    Duration lease{std::chrono::seconds(5)};
  };
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
  /// The id starts again under the next incarnation.
  void Restart(std::size_t member);
  /// @param reaches whether a frame from one member reaches another.
  void Cut(std::function<bool(std::size_t, std::size_t)> reaches) {
    reaches_ = std::move(reaches);
  }
  void SetStore(bool up) { store_up_ = up; }
  /// A process answers every inquiry with a lie and asks for deaths by itself.
  void SetLiar(std::size_t member) { liar_ = member; }

  const Record& record(std::size_t member) const { return store_[member]; }
  std::size_t deaths() const;
  std::size_t record_attempts() const { return record_attempts_; }
  std::size_t record_writes() const { return record_writes_; }
  std::size_t frames() const { return frames_; }
  /// Moments at which a member that slept through its recorded death was open
  /// for work.
  std::size_t stale_openings() const { return stale_openings_; }
  bool open(std::size_t member) const {
    return members_[member].gate.admits_work();
  }
  std::mt19937_64& generator() { return generator_; }

 private:
  enum class Kind : std::uint8_t {
    kProbe,
    kAck,
    kQuestion,
    kAnswer,
    kView,
    kRecord,
    kConfirm
  };
  struct Message {
    TimePoint at{};
    std::uint64_t number = 0;
    Kind kind = Kind::kProbe;
    std::size_t from = 0;
    std::size_t to = 0;
    membership::ConfirmationId inquiry{};
    bool reachable = false;
    membership::ViewPtr view{};
    membership::LeaseCheckId question{};

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
    bool died_asleep = false;  ///< Its death was recorded while it slept.
  };

  membership::LivenessMonitor MakeMonitor(std::size_t member);
  void Post(Message message, Duration delay);
  void SendFrame(Message message);
  void Deliver(const Message& message);
  void CarryOut(std::size_t member);
  void DecideRecord(const Message& message);
  void Confirm(const Message& message);
  void PublishViews();
  void Tick();
  Duration Latency();

  Options options_;
  std::mt19937_64 generator_;
  TimePoint now_;
  std::uint64_t epoch_ = 0;
  std::uint64_t posted_ = 0;
  ticket::TicketState tickets_;
  std::vector<Member> members_;
  std::vector<Record> store_;
  std::priority_queue<Message> queue_;
  membership::LivenessEffects effects_;
  std::function<bool(std::size_t, std::size_t)> reaches_;
  std::optional<std::size_t> liar_;
  bool store_up_ = true;
  std::size_t record_attempts_ = 0;
  std::size_t record_writes_ = 0;
  std::size_t frames_ = 0;
  std::size_t stale_openings_ = 0;
};

}  // namespace cowslip::test
