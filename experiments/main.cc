#include <docopt/docopt.h>

#include <cstdio>

#include "experiments/baselines.h"
#include "experiments/engine_run.h"
#include "experiments/svg_plot.h"

namespace cowslip::experiments {
namespace {

using std::chrono::seconds;
using ticket::Preference;

constexpr char kUsage[] =
    R"(cowslip-experiment: compares load balancing policies in a simulation.

Usage:
  cowslip-experiment balance [options]
  cowslip-experiment overload [options]
  cowslip-experiment cold-start [options]
  cowslip-experiment lying [options]
  cowslip-experiment changes [options]
  cowslip-experiment no-changes [options]
  cowslip-experiment (-h | --help)

Options:
  --seed N         Seed of workload and network [default: 1].
  --seconds N      Length of each phase [default: 60].
  --load X         Offered load relative to the capacity [default: 0.8].
  --max-queue N    Limit of requests waiting per upstream [default: 16].
  --service NAME   custody, dossier, vault or archive; all if not given.
  --svg FILE       Writes a plot of the waiting times.
)";

struct Options {
  std::uint64_t seed = 1;
  seconds length{};
  double load = 0;
  std::uint32_t max_queue = 0;
  std::string service;
  std::string svg;
};

using Arguments = std::map<std::string, docopt::value>;

std::string Text(const Arguments& arguments, const char* name) {
  const auto& value = arguments.at(name);
  return value.isString() ? value.asString() : std::string();
}

Options ReadOptions(const Arguments& arguments) {
  Options options;
  options.seed = std::stoull(Text(arguments, "--seed"));
  options.length = seconds(std::stoll(Text(arguments, "--seconds")));
  options.load = std::stod(Text(arguments, "--load"));
  options.max_queue =
      static_cast<std::uint32_t>(std::stoul(Text(arguments, "--max-queue")));
  options.service = Text(arguments, "--service");
  options.svg = Text(arguments, "--svg");
  return options;
}

EngineOptions Engine(const Options& options, Preference prefer) {
  EngineOptions engine;
  engine.name =
      prefer == Preference::kBalance ? "cowslip balance" : "cowslip continuity";
  engine.prefer = prefer;
  engine.max_queue = options.max_queue;
  engine.seed = options.seed;
  return engine;
}

std::vector<Result> RunAll(const Options& options, const Deployment& deployment,
                           const Workload& workload) {
  const auto queue = options.max_queue;
  std::vector<Result> results;
  results.push_back(RunBaseline(HashOnly(), deployment, workload, queue));
  results.push_back(RunBaseline(RoundRobin(), deployment, workload, queue));
  results.push_back(RunBaseline(LeastReported(), deployment, workload, queue));
  results.push_back(RunBaseline(Oracle(), deployment, workload, queue));
  results.push_back(RunBaseline(Clairvoyant(), deployment, workload, queue));
  for (const auto prefer : {Preference::kBalance, Preference::kContinuity}) {
    results.push_back(
        EngineRun(Engine(options, prefer), deployment, workload).Run());
  }
  return results;
}

/// Prints the waiting time of the system relative to that of the oracle.
void PrintOracleRatio(const std::vector<Result>& results) {
  constexpr std::size_t kOracleIndex = 3;
  constexpr std::size_t kBalanceIndex = 5;
  const auto oracle = results[kOracleIndex].Wait(0.99);
  const auto balance = results[kBalanceIndex].Wait(0.99);
  if (oracle == Duration{}) return;
  std::printf("p99 wait of cowslip balance over the oracle: %.2f\n",
              std::chrono::duration<double>(balance) / oracle);
  const auto milliseconds = [](Duration time) {
    return std::chrono::duration<double, std::milli>(time).count();
  };
  const auto& result = results[kBalanceIndex];
  std::printf(
      "from arrival to processing, ms: p50 %.2f, p99 %.2f; to its end, mean: "
      "%.2f\n%s",
      milliseconds(result.Delay(0.5)), milliseconds(result.Delay(0.99)),
      milliseconds(result.MeanTotal()), result.trace.Table().c_str());
}

std::vector<Group> Balance(const Options& options,
                           const std::vector<Deployment>& deployments) {
  std::vector<Group> groups;
  for (const auto& deployment : deployments) {
    const auto workload = MakeWorkload(
        deployment, {{options.length, options.load}}, options.seed);
    groups.push_back({deployment.name, RunAll(options, deployment, workload)});
    PrintHeading(deployment.name);
    for (const auto& result : groups.back().results) PrintLine(result);
    PrintOracleRatio(groups.back().results);
  }
  return groups;
}

std::vector<Group> Overload(const Options& options,
                            const std::vector<Deployment>& deployments) {
  constexpr double kOverload = 2.0;
  constexpr double kCalm = 0.5;
  std::vector<Group> groups;
  for (const auto& deployment : deployments) {
    const auto workload = MakeWorkload(deployment,
                                       {{options.length, kCalm},
                                        {options.length, kOverload},
                                        {options.length, kCalm}},
                                       options.seed);
    groups.push_back({deployment.name, RunAll(options, deployment, workload)});
    PrintHeading(deployment.name + ": load 0.5, 2.0, 0.5");
    for (const auto& result : groups.back().results) {
      PrintLine(result);
      const auto p99_ms = [&](Duration from, Duration to) {
        return std::chrono::duration<double, std::milli>(
                   result.WaitBetween(0.99, from, to))
            .count();
      };
      const auto ended = 2 * options.length;
      std::printf("    p99 ms: before %.2f, overload %.2f, 5 s after %.2f\n",
                  p99_ms({}, options.length), p99_ms(options.length, ended),
                  p99_ms(ended + seconds(5), Duration::max()));
    }
  }
  return groups;
}

std::vector<Group> ColdStart(const Options& options,
                             const std::vector<Deployment>& deployments) {
  constexpr double kColdSpeed = 0.2;
  std::vector<Group> groups;
  for (const auto& deployment : deployments) {
    const auto workload = MakeWorkload(
        deployment, {{options.length, options.load}}, options.seed);
    Group group{deployment.name, {}};
    for (const auto slow_start : {seconds(0), kColdTime}) {
      auto engine = Engine(options, Preference::kBalance);
      engine.name =
          slow_start == seconds(0) ? "without slow start" : "slow start 10 s";
      engine.slow_start = slow_start;
      engine.cold_speed = kColdSpeed;
      engine.changes = {{Change::Kind::kRestart, options.length / 2, 1}};
      group.results.push_back(EngineRun(engine, deployment, workload).Run());
    }
    PrintHeading(deployment.name + ": one upstream restarts at speed 0.2");
    for (const auto& result : group.results) PrintLine(result);
    groups.push_back(std::move(group));
  }
  return groups;
}

std::vector<Group> Lying(const Options& options,
                         const std::vector<Deployment>& deployments) {
  std::vector<Group> groups;
  for (const auto& deployment : deployments) {
    const auto workload = MakeWorkload(
        deployment, {{options.length, options.load}}, options.seed);
    Group group{deployment.name, {}};
    for (const auto misreport : {Misreport::kNone, Misreport::kIdle,
                                 Misreport::kDead, Misreport::kStale}) {
      group.results.push_back(RunBaseline(LeastReported(misreport), deployment,
                                          workload, options.max_queue));
    }
    group.results.push_back(
        EngineRun(Engine(options, Preference::kBalance), deployment, workload)
            .Run());
    PrintHeading(deployment.name + ": upstream 0 misreports its load");
    for (const auto& result : group.results) PrintLine(result);
    groups.push_back(std::move(group));
  }
  return groups;
}

std::vector<Group> Changes(const Options& options,
                           const std::vector<Deployment>& deployments,
                           bool with_changes) {
  std::vector<Group> groups;
  for (const auto& deployment : deployments) {
    const auto workload = MakeWorkload(
        deployment, {{options.length, options.load}}, options.seed);
    Group group{deployment.name, {}};
    for (const auto prefer : {Preference::kBalance, Preference::kContinuity}) {
      auto engine = Engine(options, prefer);
      engine.feeds = true;
      if (with_changes) {
        engine.changes = {{Change::Kind::kJoin, options.length / 4, 0},
                          {Change::Kind::kTicket, options.length / 2, 0},
                          {Change::Kind::kDrain, options.length * 3 / 4, 0}};
      }
      group.results.push_back(EngineRun(engine, deployment, workload).Run());
    }
    PrintHeading(deployment.name +
                 (with_changes ? ": a join, a ticket, a drain; with feeds"
                               : ": no change; with feeds"));
    for (const auto& result : group.results) PrintLine(result);
    groups.push_back(std::move(group));
  }
  return groups;
}

int Run(const Arguments& arguments) {
  const auto options = ReadOptions(arguments);
  auto deployments = Deployments();
  if (!options.service.empty()) {
    std::erase_if(deployments, [&](const Deployment& deployment) {
      return deployment.name != options.service;
    });
  }
  const auto is_command = [&](const char* command) {
    return arguments.at(command).asBool();
  };
  std::vector<Group> groups;
  if (is_command("balance")) groups = Balance(options, deployments);
  if (is_command("overload")) groups = Overload(options, deployments);
  if (is_command("cold-start")) groups = ColdStart(options, deployments);
  if (is_command("lying")) groups = Lying(options, deployments);
  if (is_command("changes")) groups = Changes(options, deployments, true);
  if (is_command("no-changes")) groups = Changes(options, deployments, false);
  const bool written =
      options.svg.empty() || WriteWaitPlot(options.svg, groups);
  return written ? 0 : 1;
}

}  // namespace
}  // namespace cowslip::experiments

int main(int argc, char** argv) {
  return cowslip::experiments::Run(docopt::docopt(
      cowslip::experiments::kUsage, {argv + 1, argv + argc}, true));
}
