#include "cowslip/daemon/balancer_daemon.h"

#include <algorithm>
#include <thread>
#include <vector>

#include "burn_board.h"
#include "control_metrics.h"
#include "cowslip/daemon/balancer_loop.h"
#include "cowslip/daemon/control_thread.h"
#include "cowslip/daemon/engine_metrics.h"
#include "cowslip/daemon/http_face.h"
#include "instance_pages.h"
#include "stop_signal.h"

namespace cowslip::daemon {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

/// Time for sidecars to move replies and for the fabric to stop sending here.
constexpr std::chrono::seconds kLeaveTime{2};

/// Runs the traffic loops of a balancer on threads of their own.
class TrafficThreads {
 public:
  explicit TrafficThreads(std::vector<std::unique_ptr<BalancerLoop>>& loops)
      : loops_(loops) {
    for (auto& loop : loops_) {
      threads_.emplace_back([raw = loop.get()] { raw->Run(); });
    }
  }
  ~TrafficThreads() {
    for (auto& loop : loops_) loop->Stop();
    for (auto& thread : threads_) thread.join();
  }
  TrafficThreads(const TrafficThreads&) = delete;
  TrafficThreads& operator=(const TrafficThreads&) = delete;

 private:
  std::vector<std::unique_ptr<BalancerLoop>>& loops_;
  std::vector<std::thread> threads_;
};

}  // namespace

bool RunBalancer(const settings::DaemonSettings& settings,
                 LastReason<DaemonError>& reason) {
  const StopSignal stop;
  ViewCell views;
  std::vector<std::unique_ptr<BalancerLoop>> loops;
  std::vector<const BalancerLoop*> readable;
  for (std::uint32_t i = 0; i < settings.balancer->threads; ++i) {
    loops.push_back(BalancerLoop::Create(settings, i, views, reason));
    if (loops.back() == nullptr) return false;
    readable.push_back(loops.back().get());
  }
  const auto control = ControlThread::Start(settings, views, reason);
  if (control == nullptr) return false;
  telemetry::Metrics metrics;
  metrics.Add(std::make_shared<EngineMetrics<BalancerLoop>>(readable));
  metrics.Add(std::make_shared<ControlMetrics>(control->stats()));
  BurnBoard board(settings.objectives);
  auto pages = MakeInstancePages(settings, *control, metrics);
  board.AddPages(settings.instance, pages);
  const auto face = HttpFace::Start(settings.http, pages, reason);
  if (face == nullptr) return false;
  const TrafficThreads threads(loops);
  Log(LogLevel::kInfo, "balancer_started",
      {{"frames", ToString(settings.balancer->frames)}});
  board.SampleUntilStopped(stop, readable);
  Log(LogLevel::kInfo, "balancer_draining");
  for (auto& loop : loops) loop->Drain();
  stop.WaitFor(kLeaveTime);
  Log(LogLevel::kInfo, "balancer_stopped");
  return true;
}

}  // namespace cowslip::daemon
