// Tests cowslip-platform as real processes: planned restarts, a kill of all
// processes at once, and invalid settings.
#define BOOST_TEST_MODULE platform_process
#include <boost/test/unit_test.hpp>
#include <csignal>

#include "platform/soak/load_generator.h"
#include "tests/platform/loop_runner.h"
#include "tests/platform/site_fixture.h"
#include "tests/process/child_process.h"
#include "tests/process/files.h"

namespace cowslip::platform_adapter::test {
namespace {

using soak::LoadGenerator;
using standins::Site;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A running site under load.
struct Fixture : SiteFixture {
  explicit Fixture(int number) : SiteFixture(number) {
    std::map<Endpoint, std::string> routes;
    for (int i = 0; i < 3; ++i) {
      routes[Site::RouteAddress(i)] = Site::ServiceName(i == 0 ? 0 : 1);
    }
    checks.OnConfigured(site->Configure(routes), routes);
    RunFor(site->loop(), seconds(2));
    load = std::make_unique<LoadGenerator>(*site, 1);
    load->Start();
    RunFor(site->loop(), seconds(1));
  }

  std::unique_ptr<LoadGenerator> load;
};

struct RestartFixture : Fixture {
  RestartFixture() : Fixture(21) {}
};

struct KillFixture : Fixture {
  KillFixture() : Fixture(22) {}
};

/// @return the exit code of a balancer with these settings.
std::optional<int> ExitCodeWith(const std::string& settings) {
  testing::TemporaryDirectory directory;
  const auto file = directory.File("settings.json");
  testing::WriteFile(file, settings);
  const auto process = testing::ChildProcess::Start(
      {"/usr/bin/env", "COWSLIPPITCH_SETTINGS=" + file,
       COWSLIP_PLATFORM_PROGRAM, "balancer"},
      directory.File("log"));
  return process->WaitForExit(seconds(2));
}

}  // namespace

BOOST_FIXTURE_TEST_CASE(RollingRestartLosesNoRequest, RestartFixture) {
  load->ResetCounts();
  for (auto* machines : {&site->balancers(), &site->sidecars()}) {
    for (auto& machine : *machines) {
      machine->Signal(SIGTERM);
      const bool ended = RunUntil(site->loop(), seconds(3),
                                  [&] { return !machine->IsRunning(); });
      BOOST_TEST(ended, machine->options().name << " still runs\n"
                                                << machine->KernelState()
                                                << site->LogOf(*machine));
      machine->RestartIfEnded();
      RunFor(site->loop(), milliseconds(1500));
    }
  }
  load->Stop();
  RunFor(site->loop(), seconds(5));
  // SYNs to a sidecar that restarts are retransmitted, so no request is lost.
  BOOST_TEST(load->answered() > 1000U);
  BOOST_TEST(load->failed() == 0U);
  BOOST_TEST(checks.resets() == 0U);
}

BOOST_FIXTURE_TEST_CASE(ServiceRecoversAfterAllProcessesWereKilled,
                        KillFixture) {
  for (auto* machines : {&site->balancers(), &site->sidecars()}) {
    for (auto& machine : *machines) machine->Signal(SIGKILL);
  }
  RunFor(site->loop(), milliseconds(300));
  for (auto* machines : {&site->balancers(), &site->sidecars()}) {
    for (auto& machine : *machines) machine->RestartIfEnded();
  }
  RunFor(site->loop(), seconds(1));
  const auto before = load->answered();
  RunFor(site->loop(), seconds(1));
  BOOST_TEST(load->answered() > before + 60);
  // Requests that were sent before the kill have ended by now.
  RunFor(site->loop(), seconds(4));
  load->ResetCounts();
  RunFor(site->loop(), seconds(2));
  load->Stop();
  RunFor(site->loop(), seconds(1));
  BOOST_TEST(load->failed() == 0U);
}

BOOST_AUTO_TEST_CASE(InvalidSettingsEndTheProgram) {
  constexpr int kExitSettings = 3;
  BOOST_TEST((ExitCodeWith("") == kExitSettings));
  BOOST_TEST((ExitCodeWith("{}") == kExitSettings));
  BOOST_TEST((ExitCodeWith(R"({"ip":"nowhere"})") == kExitSettings));
}

}  // namespace cowslip::platform_adapter::test
