// The store is away; a server crashes and starts again; all processes of the
// system are killed before the store is back.
#include <csignal>

#include "review/standin/deployment.hpp"

namespace {

using review::Deployment;
using review::Outcome;
using std::chrono::milliseconds;

constexpr int kPort = 8443;
constexpr int kFlows = 100;

Outcome Run(Deployment& deployment) {
  const bool trouble = review::WithTrouble();
  deployment.Configure(3, {{kPort, "custodia"}});
  deployment.StartAll();
  auto& server = *deployment.servers().front();
  deployment.At(milliseconds(8000), [&] {
    if (!trouble) return;
    deployment.record().Line("the store answers 503");
    deployment.store().SetFault(review::StoreFault::kBusy);
    deployment.store().CutWatches();
  });
  deployment.At(milliseconds(8500), [&] { server.Crash(); });
  deployment.At(milliseconds(9500), [&] { server.Start(); });
  for (int i = 0; i < kFlows; ++i) {
    deployment.At(milliseconds(10500 + 12 * i),
                  [&deployment] { deployment.Open(kPort); });
  }
  deployment.At(milliseconds(12500), [&] {
    deployment.record().Line("all processes of the system are killed");
    for (auto* machines : {&deployment.balancers(), &deployment.sidecars()}) {
      for (auto& machine : *machines) machine->Signal(SIGKILL);
    }
  });
  deployment.At(milliseconds(14500), [&] {
    if (!trouble) return;
    deployment.record().Line("the store answers again");
    deployment.store().SetFault(review::StoreFault::kNone);
  });
  // All machines are in touch again 4 s after the store's return.
  for (int time = 20000; time < 27000; time += 4500) {
    deployment.AskAllAt(milliseconds(time));
  }
  deployment.RunUntil(milliseconds(30000));

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
  deployment.CopyLogs({"event=predecessor", "event=registered",
                       "event=lost_flow", "event=reset", "event=config_applied",
                       "event=peers_from_store"});
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
  options.balancers = 2;
  options.servers.assign(7, "custodia");
  return review::RunCase(argc > 1 ? argv[1] : ".", options, Run);
}
