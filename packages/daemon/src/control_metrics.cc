#include "control_metrics.h"

#include "cowslip/telemetry.h"

namespace cowslip::daemon {

using telemetry::MakeCounter;
using telemetry::MakeGauge;

std::vector<prometheus::MetricFamily> ControlMetrics::Collect() const {
  const auto load_value = [](const auto& value) {
    return static_cast<double>(value.load());
  };
  return {
      MakeCounter("cowslip_control_in_bytes_total",
                  "Bytes received on relay streams.",
                  load_value(stats_.relay_bytes_in)),
      MakeCounter("cowslip_control_out_bytes_total",
                  "Bytes sent on relay streams.",
                  load_value(stats_.relay_bytes_out)),
      MakeCounter("cowslip_control_store_bytes_total",
                  "Bytes exchanged with the store.",
                  load_value(stats_.store_bytes)),
      MakeCounter("cowslip_control_store_calls_total",
                  "Calls to the store, waiting reads included.",
                  load_value(stats_.store_calls)),
      MakeCounter("cowslip_tickets_refused_total",
                  "Tickets that were refused on arrival.",
                  load_value(stats_.tickets_refused)),
      MakeGauge("cowslip_ticket_number", "Ticket in force, 0 if none.",
                load_value(stats_.ticket)),
      MakeGauge("cowslip_control_streams", "Open relay streams.",
                load_value(stats_.streams)),
      MakeGauge("cowslip_control_depth_hops",
                "Hops to a process that hears the store; 16 if none.",
                load_value(stats_.depth)),
      MakeGauge("cowslip_control_items", "Announcements and records held.",
                load_value(stats_.items)),
      MakeGauge("cowslip_control_active_upstreams",
                "Upstreams of the services in force that accept new flows.",
                load_value(stats_.active_upstreams)),
      MakeGauge("cowslip_control_watching",
                "1 if this process watches the store.",
                load_value(stats_.watching)),
  };
}

}  // namespace cowslip::daemon
