#include "cowslip/daemon/sidecar_daemon.h"

#include <algorithm>
#include <random>
#include <thread>

#include "control_metrics.h"
#include "cowslip/daemon/announcement_store.h"
#include "cowslip/daemon/control_thread.h"
#include "cowslip/daemon/engine_metrics.h"
#include "cowslip/daemon/http_server.h"
#include "cowslip/daemon/membership_thread.h"
#include "cowslip/daemon/sidecar_loop.h"
#include "health_poller.h"
#include "instance_handlers.h"
#include "sidecar_health.h"
#include "slo_reporter.h"
#include "stop_signal.h"

namespace cowslip::daemon {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

constexpr std::chrono::milliseconds kFirstClaimRetry{500};
constexpr std::chrono::milliseconds kMaxClaimRetry{30000};
constexpr std::chrono::milliseconds kDrainPoll{50};
/// Shortest drain, so that the other processes receive its draining state.
constexpr std::chrono::seconds kMinDrainTime{2};
/// Part of the drain timeout that is reserved for the final store request.
constexpr std::chrono::milliseconds kWithdrawTime{900};

/// Exponential backoff of claims. The delay is a random value between half of
/// the current limit and the limit, so that processes that lost the store at
/// the same time don't retry at the same time.
class ClaimBackoff {
 public:
  std::chrono::milliseconds Next() {
    std::uniform_int_distribution<std::int64_t> jitter(limit_.count() / 2,
                                                       limit_.count());
    const std::chrono::milliseconds delay(jitter(random_));
    limit_ = std::min(2 * limit_, kMaxClaimRetry);
    return delay;
  }

 private:
  std::mt19937_64 random_{std::random_device{}()};
  std::chrono::milliseconds limit_ = kFirstClaimRetry;
};

/// @return std::nullopt if a stop signal was received before a claim succeeded.
std::optional<IncarnationClaim> ClaimUntilStopped(
    AnnouncementStore& announcements, const StopSignal& stop) {
  ClaimBackoff backoff;
  while (true) {
    LastReason<DaemonError> reason;
    const auto start_time = std::chrono::steady_clock::now();
    const auto incarnation = announcements.Claim(reason);
    if (incarnation) return IncarnationClaim{*incarnation, start_time};
    Log(LogLevel::kWarn, "announcement_failed", {{"reason", reason.Message()}});
    if (stop.WaitFor(backoff.Next())) return std::nullopt;
  }
}

/// Waits until no flow and no request is left and kMinDrainTime has passed, or
/// until the deadline or another stop signal.
void WaitForFlows(const SidecarLoop& loop, TimePoint deadline,
                  const StopSignal& stop) {
  const auto min_end = std::chrono::steady_clock::now() + kMinDrainTime;
  while (std::chrono::steady_clock::now() < deadline) {
    const bool min_time_elapsed = std::chrono::steady_clock::now() >= min_end;
    if (min_time_elapsed && loop.remaining_work() == 0) return;
    if (stop.WaitFor(kDrainPoll)) return;
  }
}

/// Waits for the requests in progress. The flows are not waited for: other
/// sidecars own them after this incarnation was superseded.
void WaitForRuns(const SidecarLoop& loop, TimePoint deadline,
                 const StopSignal& stop) {
  while (loop.runs_in_progress() > 0 &&
         std::chrono::steady_clock::now() < deadline) {
    if (stop.WaitFor(kDrainPoll)) return;
  }
}

/// Runs the traffic loop on its own thread; stops and joins it on destruction.
class TrafficThread {
 public:
  explicit TrafficThread(SidecarLoop& loop)
      : loop_(loop), thread_([&loop] { loop.Run(); }) {}
  ~TrafficThread() {
    loop_.Stop();
    thread_.join();
  }
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

 private:
  SidecarLoop& loop_;
  std::thread thread_;
};

/// Drains the sidecar, then marks its announcement dead.
void DrainAndWithdraw(MembershipThread& members, SidecarLoop& loop,
                      const settings::DaemonSettings& settings,
                      const StopSignal& stop) {
  const auto deadline =
      std::chrono::steady_clock::now() + settings.drain_timeout;
  loop.RequestDrain();
  members.RequestDrain();
  WaitForFlows(loop, deadline - kWithdrawTime, stop);
  if (!members.Withdraw(kWithdrawTime)) Log(LogLevel::kWarn, "not_withdrawn");
}

/// Serves until a stop signal is received or another process claims the id.
/// @return false in the latter case.
bool RunUntilStopped(MembershipThread& members, SidecarLoop& loop,
                     SloReporter& slo_reporter,
                     const settings::DaemonSettings& settings,
                     const StopSignal& stop, LastReason<DaemonError>& reason) {
  const TrafficThread thread(loop);
  slo_reporter.SampleUntilStopped(stop, std::vector<const SidecarLoop*>{&loop});
  if (loop.lease() == membership::LeaseState::kLost) {
    WaitForRuns(loop, std::chrono::steady_clock::now() + settings.drain_timeout,
                stop);
    reason.Set(DaemonError::kSuperseded);
    return false;
  }
  Log(LogLevel::kInfo, "sidecar_draining", {{"flows", loop.remaining_work()}});
  DrainAndWithdraw(members, loop, settings, stop);
  Log(LogLevel::kInfo, "sidecar_stopped",
      {{"flows_left", loop.remaining_work()}});
  return true;
}

}  // namespace

bool RunSidecar(const settings::DaemonSettings& settings,
                LastReason<DaemonError>& reason) {
  const StopSignal stop;
  auto announcements = AnnouncementStore::Create(settings, reason);
  if (!announcements) return false;
  ViewPublisher views;
  const auto control = ControlThread::Start(settings, views, reason);
  if (control == nullptr) return false;
  telemetry::Metrics metrics;
  metrics.Add(std::make_shared<ControlMetrics>(control->stats()));
  SidecarHealth health;
  SloReporter slo_reporter(settings.objectives);
  auto handlers = MakeInstanceHandlers(settings, *control, metrics);
  slo_reporter.RegisterHandlers(settings.instance, handlers);
  handlers.health = [&health, instance = handlers.health] {
    return health.Check(instance());
  };
  // The HTTP server is started before the claim, which may last as long as an
  // outage of the store.
  auto http_server = HttpServer::Start(settings.http, handlers, reason);
  if (http_server == nullptr) return false;
  const auto claimed = ClaimUntilStopped(*announcements, stop);
  if (!claimed) return true;
  MembershipThread members(std::move(*announcements));
  const auto loop =
      SidecarLoop::Create(settings, *claimed, views, members, reason);
  if (loop == nullptr) return false;
  metrics.Add(std::make_shared<EngineMetrics<SidecarLoop>>(
      std::vector<const SidecarLoop*>{loop.get()}));
  health.SetLoop(loop.get());
  const HealthPoller poller(settings.sidecar->health, [&members](bool healthy) {
    members.PostResult(HealthHint{healthy});
  });
  Log(LogLevel::kInfo, "sidecar_started",
      {{"incarnation", Raw(claimed->incarnation)},
       {"frames", ToString(settings.sidecar->frames)}});
  const bool succeeded =
      RunUntilStopped(members, *loop, slo_reporter, settings, stop, reason);
  http_server.reset();
  return succeeded;
}

}  // namespace cowslip::daemon
