#include "tests/process/settings_text.h"

#include <sstream>

namespace cowslip::testing {

std::string CtlSettingsText(const Site& site) {
  return "store: {urls: [\"http://" + site.Store() +
         "\"], timeout: 1s}\n"
         "instances: [{name: balancer-1, http: \"" +
         site.BalancerHttp(1) + "\"}]\n";
}

std::string DaemonSettingsText(const Site& site, const std::string& name,
                               const std::string& http,
                               const std::string& control,
                               const std::string& drain_timeout) {
  // The store identifies a process by its token when it injects faults.
  return "instance: " + name +
         "\n"
         "data_center: callao\n"
         "store: {urls: [\"http://" +
         site.Store() + "\"], timeout: 1s, token: " + name +
         "}\n"
         "frame_key: 00112233445566778899aabbccddeeff\n"
         "http: " +
         http + "\ncontrol: " + control + "\ndrain_timeout: " + drain_timeout +
         "\n";
}

std::string TicketText(const Site& site, int number,
                       const std::vector<ServiceOptions>& services,
                       const std::vector<int>& removed) {
  std::ostringstream text;
  text << "ticket: " << number << "\nauthor: quispe\n";
  if (!services.empty()) text << "services:\n";
  for (const auto& service : services) {
    const auto name = service.name.empty()
                          ? "service-" + std::to_string(service.id)
                          : service.name;
    text << "  - {id: " << service.id << ", name: " << name << ", address: \""
         << site.Vip(service.vip) << "\", protocol: " << service.protocol
         << ", prefer: " << service.prefer
         << ", idle_timeout: " << service.idle_timeout
         << ", request_timeout: " << service.request_timeout
         << ", max_flows: " << service.max_flows
         << ", max_queue: " << service.max_queue << "}\n";
  }
  text << "removed: [";
  for (const int id : removed) text << "{id: " << id << "}, ";
  text << "]\n";
  return text.str();
}

}  // namespace cowslip::testing
