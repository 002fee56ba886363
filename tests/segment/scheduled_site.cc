#include "segment/scheduled_site.h"

#include <algorithm>
#include <cmath>

namespace cowslip::segment::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kColdFactor = 1.6;
constexpr int kSlowFactor = 3;
/// Spread of service times around their mean.
constexpr double kSpread = 0.3;

}  // namespace

Endpoint ScheduledSite::AddressOf(std::size_t kind) {
  auto address = Simulation::ServiceAddress();
  address.address += static_cast<std::uint32_t>(kind);
  return address;
}

ScheduledSite::ScheduledSite(const Options& options,
                             const std::vector<RequestKind>& kinds)
    : options_(options),
      kinds_(kinds),
      sim_(options.seed),
      random_(options.seed),
      random_arrivals_(options.seed),
      idle_callers_(kinds.size()),
      outcomes_(kinds.size()),
      starts_(kinds.size()) {
  sim_.SetWarmup(options.warmup);
  sim_.SetDataCenters(options.data_centers);
  received_.resize(options.upstreams);
  sim_.SetOnReceived(
      [this](int upstream) { received_[upstream].push_back(sim_.now()); });
  for (int i = 0; i < kBalancers; ++i) {
    sim_.AddBalancer(i);
    sim_.SetFrameVersion(i, options.classified ? kFrameVersion : 0);
  }
  FakeUpstream::Options upstream;
  upstream.slots = options.slots;
  for (int i = 0; i < options.upstreams; ++i) {
    sim_.SetServiceTimes([this, i] { return DrawServiceTime(i); });
    sim_.AddSidecar(i, "vault", upstream);
    started_at_.emplace_back();
  }
  SetRoutes();
  sim_.UpdateAllMembers();
  for (int i = 0; i < options.upstreams; ++i) sim_.Report(i);
  sim_.SpreadCallers();
}

void ScheduledSite::SetRoutes() {
  auto routes = std::make_shared<RouteTable>();
  routes->version = 1;
  if (options_.warm_up_limit > 0) {
    routes->default_warm_up_limit =
        scheduling::RequestRate::FromPerSecond(options_.warm_up_limit);
  }
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    auto& route = routes->routes[AddressOf(i)];
    route.targets.push_back({TagOf("vault"), 1});
    route.latency_target = kinds_[i].target;
    route.time_limit = kinds_[i].limit;
    route.priority = kinds_[i].priority;
  }
  for (int i = 0; i < kBalancers; ++i) sim_.SetRoutesOf(i, routes);
}

double ScheduledSite::Capacity() const {
  const std::chrono::duration<double> mean = options_.service_time;
  return options_.upstreams * options_.slots / mean.count();
}

milliseconds ScheduledSite::DrawServiceTime(int upstream) {
  std::uniform_real_distribution<double> spread(1 - kSpread, 1 + kSpread);
  double time =
      static_cast<double>(options_.service_time.count()) * spread(random_);
  const auto& factors = options_.factors;
  if (!factors.empty()) {
    const auto in_data_center =
        static_cast<std::size_t>(upstream / options_.data_centers);
    time *= factors[in_data_center % factors.size()];
  }
  if (slow_ && upstream < options_.slow_upstreams) time *= kSlowFactor;
  if (sim_.now() - started_at_[upstream] < options_.warmup) {
    time *= kColdFactor;
  }
  return milliseconds(std::llround(time));
}

void ScheduledSite::Begin(std::size_t kind) {
  Call call{.kind = kind, .started = sim_.now(), .measured = measuring_};
  auto& idle = idle_callers_[kind];
  while (!idle.empty() && !idle.back()->open()) idle.pop_back();
  if (kinds_[kind].on_open_flows && !idle.empty()) {
    call.caller = idle.back();
    idle.pop_back();
    call.caller->Ask();
  } else {
    Open(call);
  }
  calls_.push_back(call);
  if (!measuring_) return;
  ++outcomes_[kind].requests;
  starts_[kind].push_back(sim_.now());
}

void ScheduledSite::Open(Call& call) {
  call.caller = &sim_.AddCaller(AddressOf(call.kind));
  call.caller->Open();
}

void ScheduledSite::Run(milliseconds time, const std::vector<double>& rates) {
  const auto end = sim_.now() + time;
  double total = 0;
  for (const double rate : rates) total += rate;
  std::exponential_distribution<double> gap(total);
  std::discrete_distribution<std::size_t> kind(rates.begin(), rates.end());
  auto next = sim_.now();
  while (true) {
    next += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(random_arrivals_)));
    if (next >= end) break;
    Advance(next);
    Begin(kind(random_arrivals_));
  }
  Advance(end);
}

void ScheduledSite::Advance(TimePoint until) {
  constexpr std::chrono::microseconds kStep{1000};
  while (sim_.now() < until) {
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
        until - sim_.now());
    if (left.count() == 0) return;
    sim_.Run(std::min(left, kStep));
    CheckCalls();
    CheckSlots();
  }
}

void ScheduledSite::CheckCalls() {
  for (auto& call : calls_) {
    const auto& kind = kinds_[call.kind];
    const auto passed = sim_.now() - call.started;
    const auto state = call.caller->state();
    auto& outcome = outcomes_[call.kind];
    if (state == CallState::kAnswered) {
      call.ended = true;
      if (kind.on_open_flows && call.caller->open()) {
        idle_callers_[call.kind].push_back(call.caller);
      }
      if (!call.measured || passed > kind.limit) continue;
      const bool in_time = passed <= kind.target;
      ++(in_time ? outcome.in_time : outcome.late);
      outcome.value += in_time ? 1 : kLateValue;
    } else if (passed > kind.limit) {
      call.caller->Abort();
      call.ended = true;
    } else if (state == CallState::kReset || state == CallState::kTimedOut) {
      if (call.attempts < kAttempts) {
        ++call.attempts;
        Open(call);
      } else {
        call.ended = true;
      }
    }
  }
  std::erase_if(calls_, [](const auto& call) { return call.ended; });
}

/// Between a response and the next request a slot may be idle for the time
/// that a packet takes; only a slot that is still idle after that counts.
void ScheduledSite::CheckSlots() {
  if (!powered_) return;
  for (int i = 0; i < options_.upstreams; ++i) {
    const bool idle = sim_.upstream(i).busy() < options_.slots;
    if (!idle || sim_.sidecar(i).requests_waiting() == 0) continue;
    sim_.Run(std::chrono::microseconds(200));
    const bool still_idle = sim_.upstream(i).busy() < options_.slots;
    idle_slots_ += still_idle && sim_.sidecar(i).requests_waiting() > 0;
  }
}

void ScheduledSite::Burst(std::size_t kind, int requests) {
  for (int i = 0; i < requests; ++i) Begin(kind);
}

bool ScheduledSite::HasOpenCalls() const {
  return std::any_of(calls_.begin(), calls_.end(),
                     [](const auto& call) { return call.measured; });
}

void ScheduledSite::Finish(const std::vector<double>& rates) {
  StopMeasurement();
  while (HasOpenCalls()) Run(milliseconds(50), rates);
}

double ScheduledSite::OracleOfColdStart(TimePoint from) const {
  const auto& kind = kinds_.front();
  auto waiting = starts_.front();
  std::vector<TimePoint> slots(options_.upstreams * options_.slots, from);
  double value = 0;
  while (!waiting.empty()) {
    auto slot = std::min_element(slots.begin(), slots.end());
    const double factor = *slot - from < options_.warmup ? kColdFactor : 1;
    const auto service = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(options_.service_time) * factor);
    // The requests are in the order of their start, so the first one that can
    // be in time has the earliest target.
    const auto has_begun = [&](TimePoint start) { return start <= *slot; };
    const auto ends_within = [&](TimePoint start, milliseconds limit) {
      return *slot + service <= start + limit;
    };
    std::erase_if(waiting, [&](TimePoint start) {
      return !ends_within(start, kind.limit);
    });
    if (waiting.empty()) break;
    auto next = std::find_if(waiting.begin(), waiting.end(), [&](auto start) {
      return has_begun(start) && ends_within(start, kind.target);
    });
    const bool in_time = next != waiting.end();
    if (!in_time) next = waiting.begin();
    if (!has_begun(*next)) {
      *slot = *next;
      continue;
    }
    value += in_time ? 1 : kLateValue;
    *slot += service;
    waiting.erase(next);
  }
  return value;
}

void ScheduledSite::StartMeasurement() {
  measuring_ = true;
  starts_.assign(kinds_.size(), {});
  for (auto& call : calls_) call.measured = false;
  outcomes_.assign(kinds_.size(), {});
}

double ScheduledSite::TotalValue() const {
  double sum = 0;
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    sum += outcomes_[i].value * kinds_[i].value;
  }
  return sum;
}

void ScheduledSite::LosePower(milliseconds outage,
                              const std::vector<double>& rates,
                              int data_center) {
  const auto is_affected = [&](int upstream) {
    return data_center == kAllDataCenters ||
           upstream % options_.data_centers == data_center;
  };
  powered_ = false;
  for (int i = 0; i < options_.upstreams; ++i) {
    if (!is_affected(i)) continue;
    sim_.Isolate(Simulation::SidecarAddress(i));
    sim_.upstream(i).Crash();
  }
  Run(outage, rates);
  for (int i = 0; i < options_.upstreams; ++i) {
    if (!is_affected(i)) continue;
    received_[i].clear();
    sim_.RestartUpstream(i);
    sim_.RestartSidecar(i);
    started_at_[i] = sim_.now();
    sim_.Heal(Simulation::SidecarAddress(i));
    sim_.Report(i);
  }
  powered_ = true;
}

int ScheduledSite::MostWhileCold(int upstream) const {
  const auto& times = received_[upstream];
  const auto cold_until = started_at_[upstream] + options_.warmup;
  std::ptrdiff_t most = 0;
  for (auto last = times.begin(); last != times.end(); ++last) {
    if (*last >= cold_until) break;
    const auto first =
        std::lower_bound(times.begin(), last, *last - seconds(1));
    most = std::max(most, last - first + 1);
  }
  return static_cast<int>(most);
}

std::uint64_t ScheduledSite::CountedIdleSlots() {
  std::uint64_t sum = 0;
  for (int i = 0; i < options_.upstreams; ++i) {
    sum += sim_.sidecar(i).stats().idle_slots_while_waiting;
  }
  return sum;
}

std::uint64_t ScheduledSite::Refused() {
  std::uint64_t sum = 0;
  for (int i = 0; i < kBalancers; ++i) {
    sum += sim_.balancer(i).stats().overloaded;
  }
  return sum;
}

}  // namespace cowslip::segment::test
