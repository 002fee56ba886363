// Three balancers are replaced by three others, which the store turns away for a
// while, and one more is added. Later two servers are added, and a balancer is
// stopped and started. No open flow may be reset.
#include <cstdio>

#include "lab.hpp"
#include "platform/process_clock.h"

using namespace review;
using pa::standins::ProxyFault;

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  constexpr milliseconds kWork{10};
  Bounds bounds;
  bounds.heartbeat_ms = 770;
  Lab lab(argv[1], argv[2], bounds);
  const std::vector<std::uint32_t> seeds{lab.Address(81, 10), lab.Address(81, 11),
                                         lab.Address(81, 12)};
  const std::vector<std::uint32_t> later_seeds{lab.Address(81, 13), lab.Address(81, 14),
                                               lab.Address(81, 15)};
  for (int i = 0; i < 3; ++i) lab.AddFront("z0", seeds);
  for (int i = 0; i < 6; ++i) lab.AddSide("z0", "vault", seeds, kWork);
  lab.Configure({{0, "vault"}});
  for (auto& each : lab.fronts()) lab.Start(*each);
  for (auto& each : lab.sides()) lab.Start(*each);
  lab.Note("3 balancers and 6 sidecars started");

  int broken = 0;
  lab.on_packet = [&](Flow& flow, const Segment& segment) {
    if (!segment.rst) return;
    const auto* holder = lab.HolderOf(segment.flow);
    const bool counts = holder != nullptr && flow.server_resets == 0;
    lab.Note("client " + cowslip::ToString(segment.flow.caller) + " got a reset; " +
             (holder ? "server " + cowslip::ToString(holder->options().app) + " lives, holds the flow"
                     : std::string("no server holds the flow")) +
             " and sent " + std::to_string(flow.server_resets) + " resets; requests of the flow: " +
             std::to_string(flow.requests));
    broken += counts ? 1 : 0;
  };
  // Traffic: 100 new flows a second, each with a request every 300 ms for 6 s.
  std::uint64_t opened = 0, answered = 0;
  bool traffic = true;
  std::function<void()> arrive = [&] {
    if (!traffic) return;
    auto& flow = lab.Open("z0", 0);
    ++opened;
    auto step = std::make_shared<std::function<void(int)>>();
    *step = [&, step, caller = flow.caller.get(), &flow = flow](int left) {
      if (caller->state() == CallState::kAnswered) {
        ++answered;
        ++flow.answered;
        if (left > 0) {
          ++flow.requests;
          caller->Ask();
        }
      }
      if (left > 0) {
        lab.After(milliseconds(300), [step, left] { (*step)(left - 1); });
      } else if (caller->open()) {
        caller->SendFin();
      }
    };
    lab.After(milliseconds(300), [step] { (*step)(20); });
    lab.After(milliseconds(10), arrive);
  };
  lab.Run(milliseconds(4000));
  for (auto& each : lab.fronts()) {
    if (!each->in_rotation) return 2;
  }
  arrive();
  lab.Run(milliseconds(4000));
  if (WithTrouble()) {
    lab.front_proxy().SetFault(ProxyFault::kReset);
    lab.After(milliseconds(9000), [&] {
      lab.front_proxy().SetFault(ProxyFault::kNone);
      lab.Note("store: serves all machines");
    });
    lab.Note("store: turns 3 of 12 machines away, those that are added now");
  }
  for (int i = 0; i < 3; ++i) {
    auto& added = lab.AddFront("z0", seeds, /*behind_proxy=*/true);
    lab.Start(added);
    lab.Note("add_nodes: " + added.name);
  }
  lab.Run(milliseconds(4000));
  for (int i = 0; i < 6; ++i) {
    if (!lab.fronts()[static_cast<std::size_t>(i)]->in_rotation) return 2;
  }
  // The three machines that the seeds name leave, one each second.
  for (int i = 0; i < 3; ++i) {
    auto& leaving = *lab.fronts()[static_cast<std::size_t>(i)];
    lab.Note("roll_term, they leave: " + leaving.name);
    lab.Remove(leaving);
    lab.Run(milliseconds(1000));
  }
  lab.Run(milliseconds(1000));
  for (int i = 0; i < 3; ++i) {
    auto& left = *lab.fronts()[static_cast<std::size_t>(i)];
    if (left.process.IsRunning()) lab.Note(left.name + " still runs");
  }
  // Its seeds are those of 3 s before, when none of the three had ended.
  auto& front = lab.AddFront("z0", seeds);
  lab.Start(front);
  lab.Note("add_nodes: " + front.name);
  lab.Run(milliseconds(3000));
  lab.ChangeSeeds(front, later_seeds);
  lab.Note("SIGHUP: the settings of " + front.name + " name the other balancers as seeds");
  lab.Run(milliseconds(3000));
  for (int i = 0; i < 2; ++i) {
    auto& side = lab.AddSide("z0", "vault", later_seeds, kWork);
    lab.Start(side);
    lab.Note("scale_out: " + side.name);
  }
  lab.Run(milliseconds(9000));
  const auto before = broken;
  auto& rolled = *lab.fronts()[3];
  lab.Note("roll_term: " + rolled.name);
  lab.Roll(rolled);
  lab.Run(milliseconds(10000));
  traffic = false;
  lab.Run(milliseconds(7000));
  lab.Note("flows opened " + std::to_string(opened) + ", requests answered " +
           std::to_string(answered) + ", resets of open flows " + std::to_string(broken) +
           ", of these after the last planned work " + std::to_string(broken - before));
  lab.NoteFlows();
  std::printf("resets of open flows: %d\n", broken);
  return broken > 0 ? 1 : 0;
}
