#include "cowslip/daemon/sidecar_daemon.h"

#include <thread>

#include "burn_board.h"
#include "cowslip/daemon/announcer.h"
#include "cowslip/daemon/control_thread.h"
#include "cowslip/daemon/engine_metrics.h"
#include "cowslip/daemon/http_face.h"
#include "cowslip/daemon/sidecar_loop.h"
#include "instance_pages.h"
#include "stop_signal.h"

namespace cowslip::daemon {
namespace {

using telemetry::Level;
using telemetry::Log;

constexpr std::chrono::milliseconds kClaimRetry{500};
constexpr std::chrono::milliseconds kDrainPoll{50};

std::optional<Incarnation> ClaimUntilStopped(Announcer& announcer,
                                             const StopSignal& stop) {
  while (true) {
    LastReason<DaemonError> reason;
    const auto incarnation = announcer.Claim(reason);
    if (incarnation) return incarnation;
    Log(Level::kWarn, "announcement_failed", {{"reason", reason.Message()}});
    if (stop.WaitFor(kClaimRetry)) return std::nullopt;
  }
}

/// Waits until no flow and no request is left, or the time is over.
void WaitForDrain(const SidecarLoop& loop, std::chrono::milliseconds limit,
                  const StopSignal& stop) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (loop.remaining() > 0 && std::chrono::steady_clock::now() < deadline) {
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

void Drain(Announcer& announcer, SidecarLoop& loop,
           const settings::DaemonSettings& settings, const StopSignal& stop) {
  LastReason<DaemonError> reason;
  loop.Drain();
  if (!announcer.AnnounceDraining(reason)) {
    Log(Level::kWarn, "announcement_failed", {{"reason", reason.Message()}});
  }
  WaitForDrain(loop, settings.drain_timeout, stop);
  if (!announcer.Withdraw(reason)) {
    Log(Level::kWarn, "announcement_failed", {{"reason", reason.Message()}});
  }
}

}  // namespace

bool RunSidecar(const settings::DaemonSettings& settings,
                LastReason<DaemonError>& reason) {
  const StopSignal stop;
  auto announcer = Announcer::Create(settings, reason);
  if (!announcer) return false;
  const auto incarnation = ClaimUntilStopped(*announcer, stop);
  if (!incarnation) return true;
  ViewCell views;
  const auto loop = SidecarLoop::Create(settings, *incarnation, views, reason);
  if (loop == nullptr) return false;
  const auto control = ControlThread::Start(settings.store, views, reason);
  if (control == nullptr) return false;
  telemetry::Metrics metrics;
  const std::vector<const SidecarLoop*> readable{loop.get()};
  metrics.Add(std::make_shared<EngineMetrics<SidecarLoop>>(readable));
  BurnBoard board(settings.objectives);
  auto pages = MakeInstancePages(settings, *control, metrics);
  board.AddPages(settings.instance, pages);
  const auto face = HttpFace::Start(settings.http, pages, reason);
  if (face == nullptr) return false;
  const TrafficThread thread(*loop);
  Log(Level::kInfo, "sidecar_started",
      {{"incarnation", Raw(*incarnation)},
       {"frames", ToString(settings.sidecar->frames)}});
  board.SampleUntilStopped(stop, readable);
  Log(Level::kInfo, "sidecar_draining", {{"flows", loop->remaining()}});
  Drain(*announcer, *loop, settings, stop);
  Log(Level::kInfo, "sidecar_stopped", {{"flows_left", loop->remaining()}});
  return true;
}

}  // namespace cowslip::daemon
