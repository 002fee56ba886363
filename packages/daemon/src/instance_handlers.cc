#include "instance_handlers.h"

#include <nlohmann/json.hpp>

namespace cowslip::daemon {

HttpHandlers MakeInstanceHandlers(const settings::DaemonSettings& settings,
                                  const ControlThread& control,
                                  const telemetry::Metrics& metrics) {
  HttpHandlers handlers;
  handlers.health = [&control] {
    if (control.ticket() != TicketNumber{}) return Health{true, "ok"};
    return Health{false, std::string(control.NoTicketReason())};
  };
  handlers.ticket = [&settings, &control] {
    return nlohmann::json{{"instance", settings.instance},
                          {"data_center", settings.data_center},
                          {"ticket", Raw(control.ticket())},
                          {"store_reachable", control.store_reachable()},
                          {"watching", control.stats().watching.load()},
                          {"depth", control.stats().depth.load()},
                          {"streams", control.stats().streams.load()}}
        .dump();
  };
  handlers.metrics = [&metrics] { return metrics.ToPrometheusText(); };
  return handlers;
}

}  // namespace cowslip::daemon
