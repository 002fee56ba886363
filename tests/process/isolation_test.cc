#define BOOST_TEST_MODULE isolation
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <sstream>
#include <thread>

#include "tests/process/deployment.h"

namespace cowslip::testing {
namespace {

using std::chrono::seconds;

constexpr int kCallers = 8;
/// Time in which an accepted ticket comes into force in all processes, also in
/// those that can't reach the store.
constexpr seconds kTicketTime{4};

/// A datagram service or a feed service.
ServiceOptions Service(int id, int vip, const std::string& protocol) {
  return {.id = id, .vip = vip, .protocol = protocol};
}

DeploymentOptions Options(std::uint64_t seed, const std::string& protocol) {
  DeploymentOptions options;
  options.seed = seed;
  options.services = {Service(1, 1, protocol), Service(2, 2, protocol)};
  return options;
}

std::chrono::milliseconds Now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now().time_since_epoch());
}

/// A change of the service that an address belongs to.
struct Change {
  char before;
  char after;
  std::chrono::milliseconds start{};
  std::chrono::milliseconds end{};

  /// @return the services that may answer a datagram sent at this time.
  std::string AllowedAt(std::chrono::milliseconds time) const {
    if (time < start) return {before};
    if (time >= end) return {after};
    return {before, after};
  }
};

struct Answer {
  std::chrono::milliseconds sent{};
  char service = 0;
};

/// @return the responses or notifications that a caller has received. The
/// service is taken from the name of the upstream.
std::vector<Answer> AnswersTo(const Caller& caller) {
  constexpr std::string_view kName = "upstream-";
  std::vector<Answer> answers;
  std::istringstream lines(caller.Output());
  for (std::string line; std::getline(lines, line);) {
    const auto found = line.find(kName);
    if (found == std::string::npos) continue;
    const auto datagram = FindField(line, "sent_ms");
    const auto time = datagram.empty() ? FindField(line, "time_ms") : datagram;
    if (time.empty()) continue;
    answers.push_back({std::chrono::milliseconds(std::stoll(time)),
                       line[found + kName.size()]});
  }
  return answers;
}

/// Callers of one VIP, each with one flow, that send until they are destroyed.
class Flows {
 public:
  Flows(Deployment& deployment, int vip, const std::string& protocol) {
    for (int i = 0; i < kCallers; ++i) {
      callers_.push_back(
          protocol == "coap"
              ? deployment.StartCaller({"observe", deployment.Vip(vip), "/feed",
                                        "--seconds", "600"})
              : deployment.StartCaller(
                    {"datagram", deployment.Vip(vip), "hello", "--count",
                     "100000", "--timeout-s", "1", "--interval-ms", "20"}));
    }
  }

  int Answered() const {
    return static_cast<int>(std::ranges::count_if(
        callers_, [](const auto& c) { return !AnswersTo(c).empty(); }));
  }

  /// Checks which service answered what was sent until `changing` and from
  /// `changed` on.
  void Check(const std::string& name, const Change& change) const {
    for (const auto& caller : callers_) {
      for (const auto& answer : AnswersTo(caller)) {
        const auto allowed = change.AllowedAt(answer.sent);
        if (allowed.find(answer.service) != std::string::npos) continue;
        BOOST_ERROR(name << ": service " << answer.service << " answered "
                         << (answer.sent - change.end).count()
                         << " ms after the change");
        break;
      }
    }
  }

 private:
  std::vector<Caller> callers_;
};

/// Swaps the addresses of two services while some balancers and sidecars can't
/// reach the store.
void SwapAddresses(const std::string& protocol, std::uint64_t seed) {
  Deployment deployment(Options(seed, protocol));
  BOOST_REQUIRE(deployment.Start());
  const std::vector<std::string> denied{"balancer-1", "sidecar-11",
                                        "sidecar-22"};
  const std::vector<std::string> connected{"balancer-2", "balancer-3",
                                           "sidecar-12", "sidecar-21"};
  const Flows before1(deployment, 1, protocol);
  const Flows before2(deployment, 2, protocol);
  BOOST_TEST(Eventually([&] {
    return before1.Answered() == kCallers && before2.Answered() == kCallers;
  }));
  for (const auto& name : denied) deployment.SetStoreAccessDenied(name, true);
  Change change1{'1', '2', Now()};
  BOOST_TEST(deployment.SubmitTicket(
                 2, {Service(1, 2, protocol), Service(2, 1, protocol)}) == 0);
  const Flows during1(deployment, 1, protocol);
  const Flows during2(deployment, 2, protocol);
  BOOST_TEST(deployment.WaitForTicket(2, connected));
  std::this_thread::sleep_for(kTicketTime);
  change1.end = Now();
  Change change2{'2', '1', change1.start, change1.end};
  const Flows after1(deployment, 1, protocol);
  const Flows after2(deployment, 2, protocol);
  std::this_thread::sleep_for(kTicketTime);
  for (const auto& name : denied) deployment.SetStoreAccessDenied(name, false);
  BOOST_TEST(deployment.WaitForTicket(2, denied));
  BOOST_TEST(Eventually([&] {
    return after1.Answered() == kCallers && after2.Answered() == kCallers;
  }));
  std::this_thread::sleep_for(kTicketTime);

  before1.Check("flow of address 1 begun before", change1);
  before2.Check("flow of address 2 begun before", change2);
  during1.Check("flow of address 1 begun during the change", change1);
  during2.Check("flow of address 2 begun during the change", change2);
  after1.Check("flow of address 1 begun after", change1);
  after2.Check("flow of address 2 begun after", change2);
}

BOOST_AUTO_TEST_CASE(DatagramServicesSwapAddresses) {
  SwapAddresses("datagram", 51);
}
BOOST_AUTO_TEST_CASE(CoapServicesSwapAddresses) { SwapAddresses("coap", 52); }

/// A service is removed and its address given to a new one, while a stopped
/// balancer and a stopped sidecar hold the old ticket.
BOOST_AUTO_TEST_CASE(AddressIsReusedWhileSomeAreStopped) {
  Deployment deployment(Options(53, "datagram"));
  BOOST_REQUIRE(deployment.Start());
  const Flows before(deployment, 2, "datagram");
  BOOST_TEST(Eventually([&] { return before.Answered() == kCallers; }));
  deployment.Stop("balancer-1");
  deployment.Stop("sidecar-21");
  const auto reused = Service(3, 2, "datagram");
  Change change{'2', '3', Now()};
  BOOST_TEST(deployment.SubmitTicket(2, {reused}, {2}) == 0);
  deployment.StartUpstream(reused, 1);
  BOOST_TEST(deployment.WaitForTicket(
      2, {"balancer-2", "balancer-3", "sidecar-22", "sidecar-31"}));
  change.end = Now();
  const Flows after(deployment, 2, "datagram");
  std::this_thread::sleep_for(seconds(1));
  deployment.Continue("balancer-1");
  deployment.Continue("sidecar-21");
  std::this_thread::sleep_for(kTicketTime);
  BOOST_TEST(Eventually([&] { return after.Answered() == kCallers; }));
  before.Check("flow of the removed service", change);
  after.Check("flow of the new service", change);
}

}  // namespace
}  // namespace cowslip::testing
