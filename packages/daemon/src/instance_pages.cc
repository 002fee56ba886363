#include "instance_pages.h"

#include <nlohmann/json.hpp>

namespace cowslip::daemon {

HttpContent MakeInstancePages(const settings::DaemonSettings& settings,
                              const ControlThread& control,
                              const telemetry::Metrics& metrics) {
  HttpContent content;
  content.health = [&control] {
    if (control.ticket() != TicketNumber{}) return Health{true, "ok"};
    return Health{false, std::string(control.NoTicketReason())};
  };
  content.ticket = [&settings, &control] {
    return nlohmann::json{{"instance", settings.instance},
                          {"data_center", settings.data_center},
                          {"ticket", Raw(control.ticket())},
                          {"store_reachable", control.store_reachable()},
                          {"watching", control.stats().watching.load()},
                          {"depth", control.stats().depth.load()},
                          {"streams", control.stats().links.load()}}
        .dump();
  };
  content.metrics = [&metrics] { return metrics.Text(); };
  return content;
}

}  // namespace cowslip::daemon
