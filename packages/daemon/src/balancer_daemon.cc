#include "cowslip/daemon/balancer_daemon.h"

#include <algorithm>
#include <thread>
#include <vector>

#include "control_metrics.h"
#include "cowslip/daemon/balancer_loop.h"
#include "cowslip/daemon/control_thread.h"
#include "cowslip/daemon/engine_metrics.h"
#include "cowslip/daemon/http_server.h"
#include "instance_handlers.h"
#include "slo_reporter.h"
#include "stop_signal.h"

namespace cowslip::daemon {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

/// Time for sidecars to send replies through other balancers and for the fabric
/// to stop sending datagrams to this one.
constexpr std::chrono::seconds kDrainTime{2};

/// Runs each traffic loop of a balancer on its own thread; stops and joins them
/// on destruction.
class TrafficThreads {
 public:
  explicit TrafficThreads(std::vector<std::unique_ptr<BalancerLoop>>& loops)
      : loops_(loops) {
    for (auto& loop : loops_) {
      threads_.emplace_back(
          [loop_pointer = loop.get()] { loop_pointer->Run(); });
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
  ViewPublisher views;
  std::vector<std::unique_ptr<BalancerLoop>> loops;
  std::vector<const BalancerLoop*> loop_pointers;
  for (std::uint32_t i = 0; i < settings.balancer->threads; ++i) {
    loops.push_back(BalancerLoop::Create(settings, i, views, reason));
    if (loops.back() == nullptr) return false;
    loop_pointers.push_back(loops.back().get());
  }
  const auto control = ControlThread::Start(settings, views, reason);
  if (control == nullptr) return false;
  telemetry::Metrics metrics;
  metrics.Add(std::make_shared<EngineMetrics<BalancerLoop>>(loop_pointers));
  metrics.Add(std::make_shared<ControlMetrics>(control->stats()));
  SloReporter slo_reporter(settings.objectives);
  auto handlers = MakeInstanceHandlers(settings, *control, metrics);
  slo_reporter.RegisterHandlers(settings.instance, handlers);
  const auto http_server = HttpServer::Start(settings.http, handlers, reason);
  if (http_server == nullptr) return false;
  const TrafficThreads threads(loops);
  Log(LogLevel::kInfo, "balancer_started",
      {{"frames", ToString(settings.balancer->frames)}});
  slo_reporter.SampleUntilStopped(stop, loop_pointers);
  Log(LogLevel::kInfo, "balancer_draining");
  for (auto& loop : loops) loop->RequestDrain();
  stop.WaitFor(kDrainTime);
  Log(LogLevel::kInfo, "balancer_stopped");
  return true;
}

}  // namespace cowslip::daemon
