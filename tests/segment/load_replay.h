#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

#include "cowslip/flow.h"
#include "cowslip/segment.h"
#include "segment/load_plan.h"

namespace cowslip::segment::test {

/// How an upstream is chosen for a new connection.
enum class Policy {
  kHashOnly,       ///< The first one in the ranking of the flow.
  kRoundRobin,     ///< Each balancer takes them in turn.
  kLeastReported,  ///< Fewest requests in progress, as reported each 300 ms.
  kPowerOfTwo,     ///< The emptier one of two at random, known without delay.
  kOracle,         ///< Earliest answer, from all costs and speeds.
  kAnyDataCenter,  ///< This library, without knowledge of data centres.
  kPlacement,      ///< This library, without a comparison of responses.
  kOutliers,       ///< This library.
};

const char* ToString(Policy policy);

/// Answers to the requests of one replay.
struct ReplayResult {
  int requests = 0;
  int in_target = 0;
  int local = 0;                  ///< Served in the data centre of the caller.
  int refused = 0;                ///< Not served in three attempts.
  std::vector<int> requests_of;   ///< By data centre of the caller.
  std::vector<int> in_target_of;  ///< By data centre of the caller.
  std::vector<double> times;      ///< Seconds from request to response, sorted.
  /// Requests served in each half second, local and other, by data centre of
  /// the caller.
  std::vector<std::vector<int>> local_by_window;
  std::vector<std::vector<int>> other_by_window;
  std::vector<int> served_by;  ///< By upstream.
  int errors = 0;              ///< Attempts that failed at an upstream.
  int last_resorts = 0;        ///< New connections offered to outliers last.
  int trials = 0;              ///< New connections to see if one has recovered.
  /// An upstream became an outlier at some balancer, or is none any more.
  struct OutlierEvent {
    Duration at{};
    int upstream = 0;
    bool begins = false;
  };
  std::vector<OutlierEvent> outlier_events;

  double P99() const;
  double InTarget() const { return Share(in_target, requests); }
  double Local() const { return Share(local, requests - refused); }
  double InTargetOf(int center) const {
    return Share(in_target_of[center], requests_of[center]);
  }
  /// @return requests of the busiest upstream over the mean.
  double BusiestOverMean() const;

  static double Share(int part, int whole) {
    return whole == 0 ? 1 : static_cast<double>(part) / whole;
  }
};

std::ostream& operator<<(std::ostream& out, const ReplayResult& result);

/// What may go wrong in a replay.
struct ReplayFaults {
  /// Share of acknowledgements that are lost.
  double lost_acks = 0;
  /// Time by which acknowledgements are late.
  std::chrono::milliseconds ack_delay{0};
  /// Upstream whose reports of responses are nonsense, -1 for none.
  int nonsense_responses = -1;
  /// Upstream whose reports have implausible values, -1 for none.
  int implausible = -1;
  /// Members from this index on are of the previous build, whose entries have
  /// no data centre.
  int first_without_data_center = 1'000'000;
  /// All sidecar processes are replaced at this time: their models are lost.
  Duration models_lost_at = std::chrono::hours(1);
};

/// Replays a load in virtual time, once for each policy. The library's policies
/// use its selector, state table, load estimator and admission; messages take
/// 0.5 ms, between data centres 2.5 ms.
class LoadReplay {
 public:
  LoadReplay(const LoadPlan& plan, Policy policy,
             const ReplayFaults& faults = {});

  ReplayResult Run();

 private:
  /// One attempt of a caller to open a connection.
  struct Attempt {
    const PlannedFlow* flow = nullptr;
    std::uint64_t hash = 0;
    int number = 0;
    std::size_t edge = 0;
    TimePoint started{};  ///< Of the first attempt.
    bool offered_to_outliers = false;
  };
  /// A request at an upstream.
  struct Request {
    const PlannedFlow* flow = nullptr;
    std::size_t index = 0;
    TimePoint sent{};
    RequestStart start;
    Attempt attempt;
  };
  struct Server {
    PlannedUpstream plan;
    std::uint32_t busy = 0;
    std::deque<Request> queue;
    std::unique_ptr<LoadEstimator> load;
    outlier::ResponseStatistics responses;
    /// Of the oracle: when each slot is free, given all costs.
    std::vector<TimePoint> slots_free_at;
    /// Of the oracle: requests that the open long-lived flows will send.
    double committed = 0;
  };
  struct Edge {
    int data_center = 0;
    std::unique_ptr<SidecarStateTable> states;
    std::unique_ptr<CandidateSelector> selector;
    std::unique_ptr<outlier::OutlierDetector> outliers;
    std::size_t turn = 0;
    std::vector<std::uint32_t> reported;  ///< By upstream.
  };
  struct Event {
    TimePoint time;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };
  static constexpr InstanceAddress kFirstSidecar = 2000;

  void UpdateMembers();
  void After(Duration delay, std::function<void()> run);
  Duration Delay(int from_center, int to_center) const;
  void Open(Attempt attempt);
  /// @return the time in which the upstream has to answer.
  std::chrono::milliseconds TimeLeft(const Attempt& attempt) const;
  int Choose(Edge& edge, const Attempt& attempt);
  int ChooseLeastReported(const Edge& edge);
  int ChooseEarliest(const Attempt& attempt);
  void OccupySlot(Server& server, std::chrono::duration<double> cost) const;
  void Visit(const Attempt& attempt, SegmentFrame frame);
  void Forward(const Attempt& attempt, SegmentFrame frame);
  void Acknowledge(const Attempt& attempt, int upstream, InstanceAddress next);
  /// No candidate has accepted the connection.
  void Refuse(Attempt attempt);
  void Retry(Attempt attempt);
  void Accept(const Attempt& attempt, int upstream);
  void Arrive(int upstream, Request request);
  void Serve(int upstream, const Request& request);
  void Answer(int upstream, const Request& request);
  /// The upstream fails a request in some way after a short time.
  void Fail(int upstream, const Request& request, Failure failure);
  /// @return the fault of an upstream now, one without effect if none.
  PlannedFault FaultOf(const PlannedUpstream& plan) const;
  outlier::ResponseReport ReportOf(int upstream, const Endpoint& address);
  void OnReport(std::size_t edge, int upstream, const Ack& ack);
  void TickOutliers();
  void Finish(int upstream, const Request& request, bool answered);
  double FactorOf(const PlannedUpstream& plan) const;
  bool IsClosed(const Server& server) const;
  void SendReports();
  static Endpoint AddressOf(const PlannedFlow& flow) {
    return {0xC6120001, flow.port};
  }

  const LoadPlan* plan_;
  Policy policy_;
  ReplayFaults faults_;
  std::mt19937_64 random_{17};
  TimePoint start_{std::chrono::seconds(1000)};
  TimePoint now_ = start_;
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Server> servers_;
  std::vector<Edge> edges_;
  std::vector<Upstream> ranked_;
  flow::Ranking ranking_;
  ReplayResult result_;
};

}  // namespace cowslip::segment::test
