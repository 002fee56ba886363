#include <iostream>

#include "standins/common/arguments.h"
#include "standins/common/http_server.h"
#include "standins/common/termination.h"
#include "standins/fabric/control_api.h"
#include "standins/fabric/fabric.h"

namespace cowslip::standin {
namespace {

constexpr char kUsage[] =
    R"(Packet fabric: spreads datagrams of callers over balancers, with faults.

Usage:
  standin-fabric (--vip ADDRESS)... (--balancer PREFIX)... [options]

Options:
  --vip ADDRESS       Service address and port to bind towards callers.
  --balancer PREFIX   Any address of a balancer's /16.
  --seed N            Seed of all random choices [default: 1].
  --loss P            Probability of losing a datagram [default: 0].
  --duplicate P       Probability of delivering a datagram twice [default: 0].
  --reorder-ms N      Upper limit of the random delay [default: 0].
  --reorder-share P   Probability of the random delay [default: 1].
  --delay-ms N        Constant delay [default: 0].
  --control ADDRESS   Address and port of the control API.
)";

constexpr unsigned kControlThreads = 4;

std::vector<Endpoint> Vips(const Arguments& arguments) {
  std::vector<Endpoint> vips;
  for (const auto& text : arguments.Texts("--vip")) {
    const auto vip = ParseEndpoint(text);
    if (!vip) Fail("not an address and port: --vip " + text);
    vips.push_back(*vip);
  }
  return vips;
}

void AddBalancers(const Arguments& arguments, FabricState& state) {
  for (const auto& text : arguments.Texts("--balancer")) {
    const auto prefix = ParseAddress(text);
    if (!prefix) Fail("not an address: --balancer " + text);
    state.SetBalancer(*prefix, true);
  }
}

FaultSettings Faults(const Arguments& arguments) {
  return {arguments.Probability("--loss"), arguments.Probability("--duplicate"),
          arguments.Milliseconds("--reorder-ms"),
          arguments.Probability("--reorder-share"),
          arguments.Milliseconds("--delay-ms")};
}

std::optional<HttpServer> ServeControl(const Arguments& arguments,
                                       ControlApi& api) {
  if (!arguments.Has("--control")) return std::nullopt;
  LastReason<StandinError> reason;
  auto server = HttpServer::Create(
      arguments.Text("--control"), kControlThreads,
      [&api](const HttpRequest& request) { return api.Handle(request); },
      reason);
  if (!server) Fail(reason.Message());
  return server;
}

int Run(const Arguments& arguments) {
  LastReason<StandinError> reason;
  const auto termination = Termination::Create(reason);
  if (!termination) Fail(reason.Message());
  const auto seed = arguments.Number("--seed");
  FabricState state(seed, Faults(arguments));
  AddBalancers(arguments, state);
  auto fabric = Fabric::Create(Vips(arguments), seed, state, reason);
  if (!fabric) Fail(reason.Message());
  ControlApi api(state);
  const auto server = ServeControl(arguments, api);
  std::cout << "event=listening vips=" << arguments.Texts("--vip").size()
            << std::endl;
  fabric->Run(termination->fd());
  return 0;
}

}  // namespace
}  // namespace cowslip::standin

int main(int argc, char** argv) {
  return cowslip::standin::Run(
      cowslip::standin::Arguments(cowslip::standin::kUsage, argc, argv));
}
