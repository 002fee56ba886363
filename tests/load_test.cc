#define BOOST_TEST_MODULE load
#include <boost/test/unit_test.hpp>

#include "experiments/baselines.h"
#include "experiments/engine_run.h"

namespace cowslip::experiments {
namespace {

using std::chrono::seconds;
using ticket::Preference;

constexpr std::uint64_t kSeed = 1;
constexpr std::uint32_t kMaxQueue = 16;
constexpr double kUpstreamsVisited = 8;

EngineOptions Options(Preference prefer) {
  EngineOptions options;
  options.prefer = prefer;
  options.max_queue = kMaxQueue;
  options.seed = kSeed;
  return options;
}

Deployment Vault() { return Deployments()[2]; }

BOOST_AUTO_TEST_CASE(WaitsAreFarShorterThanWithHashingAlone) {
  const auto vault = Vault();
  const auto workload = MakeWorkload(vault, {{seconds(30), 0.8}}, kSeed);
  const auto hash_only = RunBaseline(HashOnly(), vault, workload, kMaxQueue);
  const auto balanced =
      EngineRun(Options(Preference::kBalance), vault, workload).Run();
  BOOST_TEST((balanced.Wait(0.99) < hash_only.Wait(0.99) / 4));
  BOOST_TEST(balanced.MaxOverMean() < 1.25);
  BOOST_TEST(balanced.lost == 0u);
}

BOOST_AUTO_TEST_CASE(OverloadShedsWhatTheOracleShedsAndRecovers) {
  const auto vault = Vault();
  const seconds phase(30);
  const auto workload =
      MakeWorkload(vault, {{phase, 0.5}, {phase, 2.0}, {phase, 0.5}}, kSeed);
  const auto oracle = RunBaseline(Oracle(), vault, workload, kMaxQueue);
  const auto balanced =
      EngineRun(Options(Preference::kBalance), vault, workload).Run();
  const auto offered = static_cast<double>(balanced.offered);
  BOOST_TEST(static_cast<double>(balanced.shed) <
             static_cast<double>(oracle.shed) + 0.02 * offered);
  BOOST_TEST(balanced.served.size() + balanced.shed == balanced.offered);
  BOOST_TEST(static_cast<double>(balanced.other_hops) <
             kUpstreamsVisited * offered);
  const auto recovered_at = 2 * phase + seconds(5);
  BOOST_TEST((balanced.WaitBetween(0.99, recovered_at, Duration::max()) <
              std::chrono::milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(PlannedChangesBreakNoFeed) {
  const auto vault = Vault();
  const seconds length(40);
  const auto workload = MakeWorkload(vault, {{length, 0.8}}, kSeed);
  auto options = Options(Preference::kContinuity);
  options.feeds = true;
  options.changes = {{Change::Kind::kJoin, length / 4, 0},
                     {Change::Kind::kTicket, length / 2, 0},
                     {Change::Kind::kDrain, length * 3 / 4, 0}};
  const auto result = EngineRun(options, vault, workload).Run();
  BOOST_TEST(result.new_flows > 500u);
  BOOST_TEST(result.broken_flows == 0u);
  BOOST_TEST(result.lost == 0u);
}

}  // namespace
}  // namespace cowslip::experiments
