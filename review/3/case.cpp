// An operator takes a change of a route back while a balancer is frozen.
#include <csignal>

#include "review/standin/deployment.hpp"

namespace {

using review::Deployment;
using review::Outcome;
using std::chrono::milliseconds;

constexpr int kPort = 8443;
constexpr int kFlows = 40;

Outcome Run(Deployment& deployment) {
  const bool trouble = review::WithTrouble();
  deployment.Configure(3, {{kPort, "custodia"}, {8080, "expedientes"}});
  deployment.StartAll();
  auto& balancer = *deployment.balancers().front();
  // Its process has run for longer than a flow may live.
  deployment.At(milliseconds(74000), [&] {
    if (!trouble) return;
    deployment.record().Line(balancer.options().name + " freezes");
    balancer.Signal(SIGSTOP);
  });
  deployment.At(milliseconds(74500), [&] {
    deployment.Configure(5, {{kPort, "expedientes"}, {8080, "expedientes"}});
  });
  for (int i = 0; i < kFlows; ++i) {
    deployment.At(milliseconds(75500 + 30 * i),
                  [&deployment] { deployment.Open(kPort); });
  }
  deployment.At(milliseconds(77000), [&] {
    deployment.Configure(8, {{kPort, "custodia"}, {8080, "expedientes"}});
  });
  deployment.At(milliseconds(77500), [&] {
    if (!trouble) return;
    deployment.record().Line(balancer.options().name + " wakes");
    balancer.Signal(SIGCONT);
  });
  // More than 4 s after the freeze, so that the machine is in touch.
  for (int time = 83000; time < 90000; time += 4500) {
    deployment.AskAllAt(milliseconds(time));
  }
  deployment.RunUntil(milliseconds(93000));

  int opened = 0;
  int broken = 0;
  for (const auto& [flow, seen] : deployment.flows()) {
    if (seen.owner != nullptr) ++opened;
    broken += seen.resets_while_open;
  }
  int unanswered = 0;
  for (const auto& client : deployment.clients()) {
    unanswered += client->unanswered();
  }
  deployment.CopyLogs({"event=config_applied", "event=was_suspended",
                       "event=lost_flow", "event=reset"});
  deployment.record().Line(std::to_string(opened) + " flows opened, " +
                           std::to_string(broken) +
                           " were reset by the system while their server held "
                           "them; requests without an answer: " +
                           std::to_string(unanswered));
  if (opened < kFlows * 9 / 10) return Outcome::kNotRun;
  return broken > 0 ? Outcome::kBroken : Outcome::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  Deployment::Options options;
  options.balancers = 3;
  options.servers.assign(5, "custodia");
  options.servers.insert(options.servers.end(), 3, "expedientes");
  return review::RunCase(argc > 1 ? argv[1] : ".", options, Run);
}
