// A planned restart of the daemons, after a few answers to SYNs were lost.
#include "review/standin/deployment.hpp"

namespace {

using review::Deployment;
using review::Outcome;
using std::chrono::milliseconds;

constexpr int kPort = 8443;
constexpr int kFlows = 200;
/// Of every ten flows, the first answer to the SYN of one is lost.
constexpr int kLossEvery = 10;

Outcome Run(Deployment& deployment) {
  const bool trouble = review::WithTrouble();
  std::map<review::FlowEnds, bool> loses_first_answer;
  deployment.SetLossToClients([&](const review::Packet& packet) {
    if (!packet.has(review::kSyn)) return false;
    const review::FlowEnds flow{packet.target, packet.source};
    const auto found = loses_first_answer.find(flow);
    if (found == loses_first_answer.end() || !found->second) return false;
    found->second = false;
    return true;
  });
  deployment.Configure(3, {{kPort, "custodia"}});
  deployment.StartAll();
  for (int i = 0; i < kFlows; ++i) {
    deployment.At(milliseconds(6000 + 25 * i),
                  [&deployment, &loses_first_answer, i] {
                    auto& client = deployment.Open(kPort);
                    loses_first_answer[client.ends()] = i % kLossEvery == 0;
                  });
  }
  if (trouble) {
    std::vector<review::Machine*> sidecars;
    for (auto& each : deployment.sidecars()) sidecars.push_back(each.get());
    deployment.Roll(sidecars, milliseconds(11500), milliseconds(1000));
    std::vector<review::Machine*> balancers;
    for (auto& each : deployment.balancers()) balancers.push_back(each.get());
    deployment.Roll(balancers, milliseconds(20000), milliseconds(4000));
  }
  for (int time = 13000; time < 36000; time += 3000) {
    deployment.AskAllAt(milliseconds(time));
  }
  deployment.RunUntil(milliseconds(38000));

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
  deployment.CopyLogs({"event=lost_flow", "event=reset"});
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
  options.servers.assign(4, "custodia");
  return review::RunCase(argc > 1 ? argv[1] : ".", options, Run);
}
