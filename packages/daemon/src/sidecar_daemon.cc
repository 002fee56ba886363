#include "cowslip/daemon/sidecar_daemon.h"

#include <algorithm>
#include <random>
#include <thread>

#include "burn_board.h"
#include "control_metrics.h"
#include "cowslip/daemon/announcer.h"
#include "cowslip/daemon/control_thread.h"
#include "cowslip/daemon/engine_metrics.h"
#include "cowslip/daemon/http_face.h"
#include "cowslip/daemon/membership_thread.h"
#include "cowslip/daemon/sidecar_loop.h"
#include "health_poller.h"
#include "instance_pages.h"
#include "sidecar_health.h"
#include "stop_signal.h"

namespace cowslip::daemon {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

constexpr std::chrono::milliseconds kFirstClaimRetry{500};
constexpr std::chrono::milliseconds kMaxClaimRetry{30000};
constexpr std::chrono::milliseconds kDrainPoll{50};
/// Time for others to hear that this sidecar leaves.
constexpr std::chrono::seconds kLeaveGrace{2};
/// Kept from the drain timeout for the store.
constexpr std::chrono::milliseconds kWithdrawLimit{900};

/// Delays that double up to a limit, with a random half, so that processes that
/// lost the store together don't come back together.
class Backoff {
 public:
  std::chrono::milliseconds Next() {
    std::uniform_int_distribution<std::int64_t> jitter(limit_.count() / 2,
                                                       limit_.count());
    const std::chrono::milliseconds delay(jitter(generator_));
    limit_ = std::min(2 * limit_, kMaxClaimRetry);
    return delay;
  }

 private:
  std::mt19937_64 generator_{std::random_device{}()};
  std::chrono::milliseconds limit_ = kFirstClaimRetry;
};

std::optional<Claimed> ClaimUntilStopped(Announcer& announcer,
                                         const StopSignal& stop) {
  Backoff backoff;
  while (true) {
    LastReason<DaemonError> reason;
    const auto begun = std::chrono::steady_clock::now();
    const auto incarnation = announcer.Claim(reason);
    if (incarnation) return Claimed{*incarnation, begun};
    Log(LogLevel::kWarn, "announcement_failed", {{"reason", reason.Message()}});
    if (stop.WaitFor(backoff.Next())) return std::nullopt;
  }
}

/// Waits until no flow and no request is left and the processes that may not
/// have heard have had time to, or until the time is over.
void WaitForDrain(const SidecarLoop& loop, TimePoint deadline,
                  const StopSignal& stop) {
  const auto grace = std::chrono::steady_clock::now() + kLeaveGrace;
  while (std::chrono::steady_clock::now() < deadline) {
    const bool heard = std::chrono::steady_clock::now() >= grace;
    if (heard && loop.remaining() == 0) return;
    if (stop.WaitFor(kDrainPoll)) return;
  }
}

/// Waits for the requests in progress; flows belong to others already.
void WaitForRuns(const SidecarLoop& loop, TimePoint deadline,
                 const StopSignal& stop) {
  while (loop.runs() > 0 && std::chrono::steady_clock::now() < deadline) {
    if (stop.WaitFor(kDrainPoll)) return;
  }
}

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

void Drain(MembershipThread& members, SidecarLoop& loop,
           const settings::DaemonSettings& settings, const StopSignal& stop) {
  const auto deadline =
      std::chrono::steady_clock::now() + settings.drain_timeout;
  loop.Drain();
  members.Drain();
  WaitForDrain(loop, deadline - kWithdrawLimit, stop);
  if (!members.Withdraw(kWithdrawLimit)) Log(LogLevel::kWarn, "not_withdrawn");
}

/// Serves until a signal, or until another process takes the id.
bool Serve(MembershipThread& members, SidecarLoop& loop, BurnBoard& board,
           const settings::DaemonSettings& settings, const StopSignal& stop,
           LastReason<DaemonError>& reason) {
  const TrafficThread thread(loop);
  board.SampleUntilStopped(stop, std::vector<const SidecarLoop*>{&loop});
  if (loop.lease() == membership::LeaseState::kLost) {
    WaitForRuns(loop, std::chrono::steady_clock::now() + settings.drain_timeout,
                stop);
    reason.Set(DaemonError::kSuperseded);
    return false;
  }
  Log(LogLevel::kInfo, "sidecar_draining", {{"flows", loop.remaining()}});
  Drain(members, loop, settings, stop);
  Log(LogLevel::kInfo, "sidecar_stopped", {{"flows_left", loop.remaining()}});
  return true;
}

}  // namespace

bool RunSidecar(const settings::DaemonSettings& settings,
                LastReason<DaemonError>& reason) {
  const StopSignal stop;
  auto announcer = Announcer::Create(settings, reason);
  if (!announcer) return false;
  ViewCell views;
  const auto control = ControlThread::Start(settings, views, reason);
  if (control == nullptr) return false;
  telemetry::Metrics metrics;
  metrics.Add(std::make_shared<ControlMetrics>(control->stats()));
  SidecarHealth health;
  BurnBoard board(settings.objectives);
  auto pages = MakeInstancePages(settings, *control, metrics);
  board.AddPages(settings.instance, pages);
  pages.health = [&health, instance = pages.health] {
    return health.Judge(instance());
  };
  // The face comes before the claim, which may take as long as an outage.
  auto face = HttpFace::Start(settings.http, pages, reason);
  if (face == nullptr) return false;
  const auto claimed = ClaimUntilStopped(*announcer, stop);
  if (!claimed) return true;
  MembershipThread members(std::move(*announcer));
  const auto loop =
      SidecarLoop::Create(settings, *claimed, views, members, reason);
  if (loop == nullptr) return false;
  metrics.Add(std::make_shared<EngineMetrics<SidecarLoop>>(
      std::vector<const SidecarLoop*>{loop.get()}));
  health.SetLoop(loop.get());
  const HealthPoller poller(settings.sidecar->health, [&members](bool healthy) {
    members.Answer(HealthHint{healthy});
  });
  Log(LogLevel::kInfo, "sidecar_started",
      {{"incarnation", Raw(claimed->incarnation)},
       {"frames", ToString(settings.sidecar->frames)}});
  const bool planned = Serve(members, *loop, board, settings, stop, reason);
  face.reset();
  return planned;
}

}  // namespace cowslip::daemon
