#include "instance_pages.h"

#include <nlohmann/json.hpp>

namespace cowslip::daemon {

HttpContent MakeInstancePages(const settings::DaemonSettings& settings,
                              const ControlThread& control,
                              const telemetry::Metrics& metrics) {
  HttpContent content;
  content.health = [&control] {
    if (control.ticket() != TicketNumber{}) return Health{true, "ok"};
    if (control.store_reachable())
      return Health{false, "no ticket is in force"};
    const bool alone = control.stats().links == 0;
    return Health{false, alone ? "no ticket is known: neither the store nor a "
                                 "peer is reachable"
                               : "no ticket is known: the store is unreachable "
                                 "and no reachable peer has one"};
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
