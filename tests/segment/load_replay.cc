#include "segment/load_replay.h"

#include <algorithm>
#include <numeric>

namespace cowslip::segment::test {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ServiceTag kService{7};
constexpr std::uint64_t kFirstDataCenter = 1;
/// Requests that an upstream queues beyond its slots.
constexpr std::size_t kQueue = 8;
constexpr milliseconds kReportInterval{300};
/// Time until the balancers' lists show that an upstream closed or opened.
constexpr milliseconds kGossipDelay{50};
/// Time until an upstream fails a request, the limit of a request without
/// response, and the size of an error.
constexpr milliseconds kFailureTime{3};
constexpr milliseconds kTimeLimit{1500};
constexpr std::uint64_t kErrorBytes = 120;
constexpr milliseconds kTick{20};
/// Attempts of a caller, and the time that a request without answer counts as.
constexpr int kAttempts = 3;
constexpr double kUnansweredSeconds = 4;
constexpr milliseconds kWindow{500};
/// Share of the target within which the upstream has to answer.
constexpr int kAnswerPercent = 90;

bool IsLibrary(Policy policy) {
  return policy == Policy::kAnyDataCenter || policy == Policy::kPlacement ||
         policy == Policy::kOutliers;
}

Duration ToDuration(std::chrono::duration<double> time) {
  return std::chrono::duration_cast<Duration>(time);
}

}  // namespace

const char* ToString(Policy policy) {
  switch (policy) {
    case Policy::kHashOnly:
      return "hash only";
    case Policy::kRoundRobin:
      return "round robin";
    case Policy::kLeastReported:
      return "least reported";
    case Policy::kPowerOfTwo:
      return "power of two";
    case Policy::kOracle:
      return "oracle";
    case Policy::kAnyDataCenter:
      return "any data centre";
    case Policy::kPlacement:
      return "placement";
    case Policy::kOutliers:
      return "outliers";
  }
  return "";
}

double ReplayResult::P99() const {
  return times.empty() ? 0 : times[times.size() * 99 / 100];
}

double ReplayResult::BusiestOverMean() const {
  const auto busiest = *std::max_element(served_by.begin(), served_by.end());
  const auto sum = std::accumulate(served_by.begin(), served_by.end(), 0);
  return static_cast<double>(busiest) * static_cast<double>(served_by.size()) /
         sum;
}

std::ostream& operator<<(std::ostream& out, const ReplayResult& result) {
  out << "p99 " << static_cast<int>(result.P99() * 1000) << " ms, in target "
      << result.InTarget() << ", local " << result.Local() << ", refused "
      << result.refused << " of " << result.requests << ", busiest "
      << result.BusiestOverMean() << " of mean";
  if (result.errors > 0) {
    out << ", errors " << result.errors << ", trials " << result.trials
        << ", last resorts " << result.last_resorts;
  }
  if (result.requests_of.size() > 1) {
    out << ", in target by data centre";
    for (std::size_t i = 0; i < result.requests_of.size(); ++i) {
      out << ' ' << result.InTargetOf(static_cast<int>(i));
    }
  }
  return out;
}

LoadReplay::LoadReplay(const LoadPlan& plan, Policy policy,
                       const ReplayFaults& faults)
    : plan_(&plan), policy_(policy), faults_(faults) {
  for (const auto& upstream : plan.upstreams) {
    const auto index = static_cast<int>(servers_.size());
    auto& server = servers_.emplace_back();
    server.plan = upstream;
    server.load = std::make_unique<LoadEstimator>();
    server.load->SetSlots(upstream.slots);
    server.slots_free_at.assign(upstream.slots, start_);
    Upstream entry;
    entry.id = UpstreamId{kFirstSidecar + static_cast<InstanceAddress>(index)};
    ranked_.push_back(entry);
  }
  for (int i = 0; i < plan.data_centers * plan.balancers_per_data_center; ++i) {
    auto& edge = edges_.emplace_back();
    edge.data_center = i % plan.data_centers;
    edge.states = std::make_unique<SidecarStateTable>();
    const bool known = policy != Policy::kAnyDataCenter;
    edge.outliers = std::make_unique<outlier::OutlierDetector>();
    edge.selector = std::make_unique<CandidateSelector>(
        *edge.states, known ? kFirstDataCenter + edge.data_center : 0,
        policy == Policy::kOutliers ? edge.outliers.get() : nullptr);
    edge.reported.assign(servers_.size(), 0);
  }
  UpdateMembers();
  const auto windows =
      static_cast<std::size_t>(plan.flows.back().opens_at / kWindow + 1);
  result_.requests_of.assign(plan.data_centers, 0);
  result_.in_target_of.assign(plan.data_centers, 0);
  result_.local_by_window.assign(plan.data_centers,
                                 std::vector<int>(windows, 0));
  result_.other_by_window = result_.local_by_window;
  result_.served_by.assign(servers_.size(), 0);
}

void LoadReplay::UpdateMembers() {
  std::vector<Member> members;
  for (int i = 0; i < static_cast<int>(servers_.size()); ++i) {
    const bool known = i < faults_.first_without_data_center;
    members.push_back(
        {kFirstSidecar + static_cast<InstanceAddress>(i),
         !IsClosed(servers_[i]),
         known ? kFirstDataCenter + servers_[i].plan.data_center : 0,
         kFrameVersion});
  }
  for (auto& edge : edges_) {
    edge.selector->ReplaceMembers(kService, members, false, now_);
  }
}

void LoadReplay::After(Duration delay, std::function<void()> run) {
  events_.push({now_ + delay, order_++, std::move(run)});
}

Duration LoadReplay::Delay(int from_center, int to_center) const {
  return from_center == to_center ? microseconds(500) : microseconds(2500);
}

double LoadReplay::FactorOf(const PlannedUpstream& plan) const {
  const bool changed = now_ - start_ >= plan.changes_at;
  return plan.factor * (changed ? plan.later_change : 1) * FaultOf(plan).factor;
}

PlannedFault LoadReplay::FaultOf(const PlannedUpstream& plan) const {
  for (const auto& fault : plan.faults) {
    const auto at = now_ - start_;
    if (at >= fault.from && at < fault.until) return fault;
  }
  return {};
}

bool LoadReplay::IsClosed(const Server& server) const {
  const auto at = now_ - start_;
  return at >= server.plan.closed_from && at < server.plan.closed_until;
}

ReplayResult LoadReplay::Run() {
  std::uint16_t number = 0;
  for (const auto& flow : plan_->flows) {
    Attempt attempt{.flow = &flow, .number = 1};
    attempt.hash =
        HashFlow({{0x64400001U + number, flow.port}, AddressOf(flow)});
    attempt.hash ^= std::uint64_t{number} * 0x9E3779B97F4A7C15;
    attempt.started = start_ + flow.opens_at;
    ++number;
    After(flow.opens_at, [this, attempt] { Open(attempt); });
  }
  if (faults_.models_lost_at < plan_->flows.back().opens_at) {
    After(faults_.models_lost_at, [this] {
      for (auto& server : servers_) {
        *server.load = LoadEstimator();
        server.load->SetSlots(server.plan.slots);
      }
    });
  }
  for (const auto& upstream : plan_->upstreams) {
    for (const auto at : {upstream.closed_from, upstream.closed_until}) {
      if (at >= plan_->flows.back().opens_at) continue;
      After(at + kGossipDelay, [this] { UpdateMembers(); });
    }
  }
  if (policy_ == Policy::kLeastReported) SendReports();
  if (policy_ == Policy::kOutliers) TickOutliers();
  while (!events_.empty()) {
    auto event = events_.top();
    events_.pop();
    now_ = event.time;
    event.run();
  }
  std::sort(result_.times.begin(), result_.times.end());
  return std::move(result_);
}

void LoadReplay::SendReports() {
  for (auto& edge : edges_) {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      edge.reported[i] = servers_[i].busy +
                         static_cast<std::uint32_t>(servers_[i].queue.size());
    }
  }
  const bool more = now_ - start_ < plan_->flows.back().opens_at;
  if (more) After(kReportInterval, [this] { SendReports(); });
}

void LoadReplay::Open(Attempt attempt) {
  const auto centers = static_cast<std::size_t>(plan_->data_centers);
  const auto each =
      attempt.hash % static_cast<std::size_t>(plan_->balancers_per_data_center);
  attempt.edge =
      static_cast<std::size_t>(attempt.flow->data_center) + centers * each;
  auto& edge = edges_[attempt.edge];
  if (!IsLibrary(policy_)) {
    Accept(attempt, Choose(edge, attempt));
    return;
  }
  SegmentFrame frame;
  frame.service = kService;
  result_.trials +=
      edge.selector->ListForNewFlow(attempt.hash, plan_->target, now_, frame);
  frame.time_left = TimeLeft(attempt);
  edge.states->Reserve(frame.hops[0], now_);
  Visit(attempt, frame);
}

milliseconds LoadReplay::TimeLeft(const Attempt& attempt) const {
  const auto passed =
      std::chrono::duration_cast<milliseconds>(now_ - attempt.started);
  return std::max(plan_->target * kAnswerPercent / 100 - passed,
                  milliseconds(0));
}

int LoadReplay::Choose(Edge& edge, const Attempt& attempt) {
  const auto count = servers_.size();
  std::uniform_int_distribution<std::size_t> any(0, count - 1);
  switch (policy_) {
    case Policy::kHashOnly: {
      ranking_.Build(ranked_, attempt.hash);
      for (const auto* each : ranking_.order()) {
        const auto index = static_cast<int>(each - ranked_.data());
        if (!IsClosed(servers_[index])) return index;
      }
      return 0;
    }
    case Policy::kRoundRobin:
      for (std::size_t i = 0; i < count; ++i) {
        const auto index = edge.turn++ % count;
        if (!IsClosed(servers_[index])) return static_cast<int>(index);
      }
      return 0;
    case Policy::kLeastReported:
      return ChooseLeastReported(edge);
    case Policy::kPowerOfTwo: {
      int best = -1;
      for (int found = 0; found < 2;) {
        const auto index = any(random_);
        const auto& server = servers_[index];
        if (IsClosed(server)) continue;
        ++found;
        const auto load = server.busy + server.queue.size();
        if (best < 0 ||
            load < servers_[best].busy + servers_[best].queue.size()) {
          best = static_cast<int>(index);
        }
      }
      return best;
    }
    default:
      return ChooseEarliest(attempt);
  }
}

int LoadReplay::ChooseLeastReported(const Edge& edge) {
  // Among equal ones, the first from a random position.
  const auto count = servers_.size();
  std::uniform_int_distribution<std::size_t> any(0, count - 1);
  const auto offset = any(random_);
  int best = -1;
  for (std::size_t i = 0; i < count; ++i) {
    const auto index = (offset + i) % count;
    if (IsClosed(servers_[index])) continue;
    if (best < 0 || edge.reported[index] < edge.reported[best]) {
      best = static_cast<int>(index);
    }
  }
  return best;
}

int LoadReplay::ChooseEarliest(const Attempt& attempt) {
  const auto& requests = attempt.flow->requests;
  if (requests.size() > 1) {
    // A long-lived flow goes where the least load per speed is to come.
    const auto least = std::min_element(
        servers_.begin(), servers_.end(), [&](const auto& a, const auto& b) {
          return a.committed * FactorOf(a.plan) / a.plan.slots <
                 b.committed * FactorOf(b.plan) / b.plan.slots;
        });
    least->committed += static_cast<double>(requests.size());
    return static_cast<int>(least - servers_.begin());
  }
  int best = -1;
  TimePoint earliest;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    auto& server = servers_[i];
    if (IsClosed(server)) continue;
    const auto delay =
        Delay(attempt.flow->data_center, server.plan.data_center);
    const auto free_at = *std::min_element(server.slots_free_at.begin(),
                                           server.slots_free_at.end());
    const auto end = std::max(now_, free_at) + 4 * delay +
                     ToDuration(requests.front().cost * FactorOf(server.plan));
    if (best < 0 || end < earliest) {
      best = static_cast<int>(i);
      earliest = end;
    }
  }
  OccupySlot(servers_[best], requests.front().cost);
  return best;
}

void LoadReplay::OccupySlot(Server& server,
                            std::chrono::duration<double> cost) const {
  auto& slots = server.slots_free_at;
  const auto slot = std::min_element(slots.begin(), slots.end());
  *slot = std::max(now_, *slot) + ToDuration(cost * FactorOf(server.plan));
}

/// Follows the candidate list as Sidecar does.
void LoadReplay::Visit(const Attempt& attempt, SegmentFrame frame) {
  const auto index = static_cast<int>(frame.hops[frame.place] - kFirstSidecar);
  const int from = frame.place == 0
                       ? edges_[attempt.edge].data_center
                       : servers_[frame.hops[frame.place - 1] - kFirstSidecar]
                             .plan.data_center;
  After(Delay(from, servers_[index].plan.data_center), [this, attempt, frame,
                                                        index]() mutable {
    auto& server = servers_[index];
    if (IsClosed(server)) {
      Forward(attempt, frame);
      return;
    }
    AdmissionState state{
        server.load->HasFreeSlot(), server.load->CanQueue(),
        server.load->AnswerTime(now_, AddressOf(*attempt.flow))};
    const auto admission =
        CompareLongFlow(*server.load, AddressOf(*attempt.flow), now_,
                        DecideAdmission(state, frame.time_left), state, frame);
    const bool chosen = frame.forced && admission == Admission::kCandidate;
    if (admission == Admission::kAccept || chosen) {
      server.load->OnRequestExpected();
      Acknowledge(attempt, index, 0);
      Accept(attempt, index);
      return;
    }
    const auto wait = static_cast<std::uint32_t>(state.answer_time.count());
    if (admission == Admission::kTooLate) {
      frame.overloaded = true;
    } else if (wait < frame.best_wait_us) {
      frame.best_wait_us = wait;
      frame.best_place = frame.place;
    }
    Forward(attempt, frame);
  });
}

void LoadReplay::Forward(const Attempt& attempt, SegmentFrame frame) {
  const auto index = static_cast<int>(frame.hops[frame.place] - kFirstSidecar);
  if (!frame.forced && frame.place + 1 < frame.hop_count) {
    ++frame.place;
    Acknowledge(attempt, index, frame.hops[frame.place]);
    Visit(attempt, frame);
  } else if (!frame.forced && frame.best_wait_us != UINT32_MAX) {
    frame.forced = true;
    frame.place = frame.best_place;
    Acknowledge(attempt, index, frame.hops[frame.place]);
    Visit(attempt, frame);
  } else {
    Acknowledge(attempt, index, 0);
    Refuse(attempt);
  }
}

void LoadReplay::Acknowledge(const Attempt& attempt, int upstream,
                             InstanceAddress next) {
  auto& server = servers_[upstream];
  Ack ack;
  ack.open = !IsClosed(server);
  ack.expected_wait_us = static_cast<std::uint32_t>(
      server.load->ExpectedWait(now_, AddressOf(*attempt.flow)).count());
  ack.free_slots = static_cast<std::uint16_t>(server.load->free_slots());
  if (upstream == faults_.implausible) {
    ack.expected_wait_us = 0;
    ack.free_slots = UINT16_MAX;
  }
  ack.responses = ReportOf(upstream, AddressOf(*attempt.flow));
  ack.flow.service = AddressOf(*attempt.flow);
  std::bernoulli_distribution is_lost(faults_.lost_acks);
  if (is_lost(random_)) return;
  const auto delay =
      Delay(edges_[attempt.edge].data_center, server.plan.data_center) +
      faults_.ack_delay;
  After(delay, [this, edge = attempt.edge, upstream, ack, next] {
    auto& states = *edges_[edge].states;
    states.OnAck(kFirstSidecar + static_cast<InstanceAddress>(upstream), ack,
                 now_);
    OnReport(edge, upstream, ack);
    if (next != 0) states.Reserve(next, now_);
  });
}

outlier::ResponseReport LoadReplay::ReportOf(int upstream,
                                             const Endpoint& address) {
  auto report = servers_[upstream].responses.Report(address, now_);
  if (upstream == faults_.nonsense_responses) {
    std::uniform_int_distribution<int> any(0, 255);
    report.failure_share = any(random_) / 10.0;
    report.response_time = seconds(any(random_));
    report.good_run = static_cast<std::uint8_t>(any(random_));
    report.failures = static_cast<std::uint8_t>(any(random_));
  }
  return report;
}

void LoadReplay::OnReport(std::size_t edge, int upstream, const Ack& ack) {
  Bytes wire;
  AppendAck(ack, wire);
  const auto read = DecodeAck(wire);
  edges_[edge].outliers->OnReport(
      outlier::MemberId{kFirstSidecar + static_cast<InstanceAddress>(upstream)},
      read->flow.service, *read->responses, now_);
}

void LoadReplay::TickOutliers() {
  for (std::size_t i = 0; i < edges_.size(); ++i) {
    auto& outliers = *edges_[i].outliers;
    outliers.ExpireReports(now_);
    for (const auto member : outliers.TakeReportRequests(2, now_)) {
      const auto upstream =
          static_cast<int>(member) - static_cast<int>(kFirstSidecar);
      After(2 * Delay(0, 0), [this, i, upstream] {
        Ack ack;
        ack.responses = ReportOf(upstream, {});
        OnReport(i, upstream, ack);
      });
    }
    for (const auto& change : outliers.TakeChanges()) {
      result_.outlier_events.push_back(
          {now_ - start_,
           static_cast<int>(change.member) - static_cast<int>(kFirstSidecar),
           change.begins});
    }
  }
  const bool more = now_ - start_ < plan_->flows.back().opens_at;
  if (more) After(kTick, [this] { TickOutliers(); });
}

void LoadReplay::Refuse(Attempt attempt) {
  SegmentFrame frame;
  frame.service = kService;
  auto& edge = edges_[attempt.edge];
  if (policy_ == Policy::kOutliers && !attempt.offered_to_outliers &&
      edge.selector->ListOutliers(attempt.hash, now_, frame)) {
    attempt.offered_to_outliers = true;
    frame.time_left = TimeLeft(attempt);
    ++result_.last_resorts;
    After(2 * Delay(0, 0), [this, attempt, frame] { Visit(attempt, frame); });
    return;
  }
  Retry(attempt);
}

void LoadReplay::Retry(Attempt attempt) {
  if (attempt.number < kAttempts) {
    ++attempt.number;
    attempt.offered_to_outliers = false;
    attempt.hash = attempt.hash * 0x9E3779B97F4A7C15 + 1;
    After(milliseconds(2), [this, attempt] { Open(attempt); });
    return;
  }
  const bool measured = attempt.flow->opens_at >= plan_->measured_from;
  if (!measured) return;
  ++result_.refused;
  ++result_.requests;
  ++result_.requests_of[attempt.flow->data_center];
  result_.times.push_back(kUnansweredSeconds);
}

/// The flow is open; its requests reach the upstream.
void LoadReplay::Accept(const Attempt& attempt, int upstream) {
  const auto& server = servers_[upstream];
  const auto delay = Delay(attempt.flow->data_center, server.plan.data_center);
  // SYN-ACK to the caller, and its request.
  const auto arrival = 2 * delay;
  for (std::size_t i = 0; i < attempt.flow->requests.size(); ++i) {
    const auto after = attempt.flow->requests[i].after_open;
    Request request{
        attempt.flow, i, i == 0 ? attempt.started : now_ + after, {}, attempt};
    After(arrival + after,
          [this, upstream, request] { Arrive(upstream, request); });
  }
}

void LoadReplay::Arrive(int upstream, Request request) {
  auto& server = servers_[upstream];
  if (request.index == 0) server.load->OnExpectedRequestEnded();
  if (request.index > 0 || request.flow->requests.size() > 1) {
    OccupySlot(server, request.flow->requests[request.index].cost);
    server.committed -= 1;
  }
  request.start =
      server.load->OnStarted(now_, AddressOf(*request.flow),
                             static_cast<std::uint32_t>(request.index + 1));
  if (server.busy < server.plan.slots) {
    Serve(upstream, request);
  } else if (server.queue.size() < kQueue) {
    server.queue.push_back(request);
  } else {
    server.load->OnRequestAborted(request.start, now_);
    Finish(upstream, request, false);
  }
}

void LoadReplay::Serve(int upstream, const Request& request) {
  auto& server = servers_[upstream];
  ++server.busy;
  const auto cost = request.flow->requests[request.index].cost;
  const auto fault = FaultOf(server.plan);
  const bool fails =
      fault.share > 0 && std::bernoulli_distribution(fault.share)(random_);
  const Duration time =
      fails ? kFailureTime : ToDuration(cost * FactorOf(server.plan));
  After(time, [this, upstream, request, fails, failure = fault.failure] {
    auto& done = servers_[upstream];
    if (fails) {
      Fail(upstream, request, failure);
    } else {
      Answer(upstream, request);
    }
    --done.busy;
    if (!fails) Finish(upstream, request, true);
    if (done.queue.empty()) return;
    const auto next = done.queue.front();
    done.queue.pop_front();
    Serve(upstream, next);
  });
}

void LoadReplay::Answer(int upstream, const Request& request) {
  auto& done = servers_[upstream];
  const auto address = AddressOf(*request.flow);
  if (const auto time = done.load->TimeInSlot(request.start, now_)) {
    done.responses.OnFirstByte(address, *time, now_);
  }
  std::uniform_int_distribution<std::uint64_t> size(400, 900);
  if (policy_ == Policy::kOutliers) {
    done.responses.OnAnswered(address, size(random_), true, now_);
  }
  done.load->OnResponse(request.start, now_);
  if (request.index + 1 == request.flow->requests.size()) {
    done.load->OnFlowEnded(request.start, now_);
  }
}

void LoadReplay::Fail(int upstream, const Request& request, Failure failure) {
  auto& server = servers_[upstream];
  const auto address = AddressOf(*request.flow);
  if (failure == Failure::kSmallResponse) {
    if (const auto time = server.load->TimeInSlot(request.start, now_)) {
      server.responses.OnFirstByte(address, *time, now_);
    }
    server.responses.OnAnswered(address, kErrorBytes, true, now_);
    server.load->OnResponse(request.start, now_);
  }
  const Duration until_seen =
      failure == Failure::kNoResponse ? Duration(kTimeLimit) : Duration{};
  After(until_seen, [this, upstream, request, failure, address] {
    auto& failed = servers_[upstream];
    if (failure != Failure::kSmallResponse) {
      failed.responses.OnFailed(address, now_);
      failed.load->OnRequestAborted(request.start, now_);
    }
    const bool measured = request.flow->opens_at >= plan_->measured_from;
    result_.errors += measured;
    Retry(request.attempt);
  });
}

void LoadReplay::Finish(int upstream, const Request& request, bool answered) {
  const auto& flow = *request.flow;
  const auto at = flow.opens_at + flow.requests[request.index].after_open;
  if (at < plan_->measured_from) return;
  const auto center = servers_[upstream].plan.data_center;
  const auto time = now_ + Delay(center, flow.data_center) - request.sent;
  const bool in_target = answered && time <= plan_->target;
  ++result_.requests;
  ++result_.requests_of[flow.data_center];
  result_.in_target += in_target;
  result_.in_target_of[flow.data_center] += in_target;
  result_.refused += !answered;
  result_.times.push_back(answered ? std::chrono::duration<double>(time).count()
                                   : kUnansweredSeconds);
  if (!answered) return;
  const bool is_local = center == flow.data_center;
  result_.local += is_local;
  ++result_.served_by[upstream];
  auto& windows =
      (is_local ? result_.local_by_window : result_.other_by_window);
  ++windows[flow.data_center]
           [static_cast<std::size_t>(flow.opens_at / kWindow)];
}

}  // namespace cowslip::segment::test
