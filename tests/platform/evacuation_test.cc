// Evacuates data centres of a site of real processes: the balancers read it in
// the store, and the sidecars refuse new connections.
#define BOOST_TEST_MODULE platform_evacuation
#include <boost/test/unit_test.hpp>
#include <csignal>

#include "platform/standins/packet_writer.h"
#include "tests/platform/loop_runner.h"
#include "tests/platform/site_fixture.h"

namespace cowslip::platform_adapter::test {
namespace {

using segment::test::CallState;
using segment::test::FakeCaller;
using standins::Site;
using standins::StoreFault;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time within which a change is in force everywhere. The guarantee is 5 s.
constexpr milliseconds kSpreadTime{1000};

struct Fixture : SiteFixture {
  explicit Fixture(int number) : SiteFixture(number) {
    std::map<Endpoint, std::string> routes;
    routes[Site::RouteAddress(0)] = Site::ServiceName(0);
    config = site->Configure(routes);
    checks.OnConfigured(config, routes);
    RunFor(site->loop(), seconds(2));
    outdated_balancer.address = (127U << 24U) | (75U << 16U) |
                                (static_cast<unsigned>(number) << 8U) | 1U;
    LastReason<AdapterError> reason;
    socket = UdpSocket::Bind(outdated_balancer, reason);
    BOOST_REQUIRE_MESSAGE(socket.has_value(), reason.Message());
  }

  /// Sends the SYN of a new flow to a sidecar, as a balancer does that knows of
  /// no evacuation.
  void SendSynTo(int data_center) {
    segment::Segment syn;
    syn.flow = {{outdated_balancer.address, ++next_port},
                Site::RouteAddress(0)};
    syn.syn = true;
    segment::SegmentFrame frame;
    frame.config = config;
    frame.service = segment::TagOf(Site::ServiceName(0));
    frame.balancer = outdated_balancer.address;
    frame.hop_count = 1;
    frame.hops[0] = site->sidecars()[data_center]->options().readiness.address;
    Bytes datagram;
    segment::AppendSegmentFrame(
        frame, standins::WritePacket(syn, PacketSender::kCaller), datagram);
    constexpr std::uint16_t kInternalPort = 7720;
    socket->Send({frame.hops[0], kInternalPort}, datagram);
  }
  /// Sends SYNs to a sidecar for a time, none of which may be accepted.
  void CheckRefuses(int data_center, milliseconds time) {
    const int before = SynsAt(data_center);
    for (const auto end = Now() + time; Now() < end;) {
      SendSynTo(data_center);
      RunFor(site->loop(), milliseconds(2));
    }
    RunFor(site->loop(), milliseconds(50));
    BOOST_TEST(SynsAt(data_center) == before);
  }

  static std::string KeyOf(int data_center) {
    return "op/evacuate/" + Site::DataCenterName(data_center);
  }
  void Evacuate(int data_center) {
    site->store().Put(KeyOf(data_center), "planned work");
    RunFor(site->loop(), kSpreadTime);
  }
  void TakeBack(int data_center) {
    site->store().Remove(KeyOf(data_center));
    RunFor(site->loop(), kSpreadTime);
  }
  /// @return SYNs that the upstreams of a data centre have received.
  int SynsAt(int data_center) {
    return syns[site->upstreams()[data_center].get()];
  }
  /// Opens flows, and waits until their requests have ended.
  std::vector<FakeCaller*> OpenFlows(int count) {
    std::vector<FakeCaller*> opened;
    for (int i = 0; i < count; ++i) {
      opened.push_back(&site->Open(Site::RouteAddress(0)));
      RunFor(site->loop(), milliseconds(10));
    }
    RunFor(site->loop(), milliseconds(300));
    return opened;
  }
  static int Count(const std::vector<FakeCaller*>& callers, CallState state) {
    int count = 0;
    for (const auto* caller : callers) count += caller->state() == state;
    return count;
  }
  /// Opens flows, none of which may reach a data centre; all are answered.
  void CheckClosed(int data_center) {
    const int before = SynsAt(data_center);
    BOOST_TEST(Count(OpenFlows(40), CallState::kAnswered) == 40);
    BOOST_TEST(SynsAt(data_center) == before);
    CheckRefuses(data_center, milliseconds(50));
  }
  void CheckOpen(int data_center) {
    const int before = SynsAt(data_center);
    BOOST_TEST(Count(OpenFlows(40), CallState::kAnswered) == 40);
    BOOST_TEST(SynsAt(data_center) > before);
  }
  void Restart(standins::Machine& machine) {
    machine.Signal(SIGKILL);
    RunUntil(site->loop(), seconds(1), [&] { return !machine.IsRunning(); });
    machine.RestartIfEnded();
  }

  std::uint64_t config = 0;
  Endpoint outdated_balancer;
  std::optional<UdpSocket> socket;
  std::uint16_t next_port = 2000;
};

struct EvacuationFixture : Fixture {
  EvacuationFixture() : Fixture(25) {}
};
struct RestartFixture : Fixture {
  RestartFixture() : Fixture(26) {}
};
struct SuspensionFixture : Fixture {
  SuspensionFixture() : Fixture(27) {}
};
struct ReturnFixture : Fixture {
  ReturnFixture() : Fixture(28) {}
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(EvacuatedDataCenterGetsNoConnection,
                        EvacuationFixture) {
  const auto open_flows = OpenFlows(30);
  // The frames of the outdated balancer are accepted without an evacuation.
  const int before_frames = SynsAt(0);
  SendSynTo(0);
  RunFor(site->loop(), milliseconds(50));
  BOOST_TEST(SynsAt(0) == before_frames + 1);
  BOOST_TEST(SynsAt(0) > 0);
  Evacuate(0);
  CheckClosed(0);
  // Open flows stay, wherever they are.
  for (auto* caller : open_flows) caller->Ask();
  RunFor(site->loop(), seconds(1));
  BOOST_TEST(Count(open_flows, CallState::kAnswered) == 30);
  Evacuate(1);
  CheckClosed(1);
  TakeBack(0);
  CheckOpen(0);
  CheckClosed(1);
  Evacuate(0);
  Evacuate(2);
  // No data centre is left: callers are told at once.
  const auto before = SynsAt(0) + SynsAt(1) + SynsAt(2);
  const auto refused = OpenFlows(10);
  BOOST_TEST(Count(refused, CallState::kReset) == 10);
  for (const auto* caller : refused) {
    BOOST_TEST((caller->elapsed() < milliseconds(200)));
  }
  BOOST_TEST(SynsAt(0) + SynsAt(1) + SynsAt(2) == before);
  const auto log = site->LogOf(*site->balancers().front());
  BOOST_TEST(log.find("event=evacuation") != std::string::npos);
  for (int i = 0; i < 3; ++i) TakeBack(i);
  CheckOpen(2);
}

// Processes that start while the store is away learn from those that survived.
BOOST_FIXTURE_TEST_CASE(EvacuationHoldsThroughRestartsWithoutTheStore,
                        RestartFixture) {
  Evacuate(0);
  site->store().SetFault(StoreFault::kNoResponse);
  site->store().CutWatches();
  Restart(*site->sidecars()[0]);
  // From its first moment on, before it has heard of anything.
  CheckRefuses(0, seconds(2));
  CheckClosed(0);
  for (auto& balancer : site->balancers()) Restart(*balancer);
  Restart(*site->sidecars()[0]);
  RunFor(site->loop(), seconds(2));
  CheckClosed(0);
  site->store().SetFault(StoreFault::kNone);
  RunFor(site->loop(), seconds(2));
  TakeBack(0);
  CheckOpen(0);
}

// The data centre is evacuated while its sidecar and a balancer are suspended.
BOOST_FIXTURE_TEST_CASE(ResumedSidecarAcceptsNothingOnOldKnowledge,
                        SuspensionFixture) {
  auto& sidecar = *site->sidecars()[0];
  auto& balancer = *site->balancers()[0];
  for (auto* machine : {&sidecar, &balancer}) machine->Signal(SIGSTOP);
  RunFor(site->loop(), seconds(1));
  site->store().Put(KeyOf(0), "");
  RunFor(site->loop(), seconds(1));
  const int before = SynsAt(0);
  for (auto* machine : {&sidecar, &balancer}) machine->Signal(SIGCONT);
  CheckRefuses(0, seconds(1));
  for (int i = 0; i < 40; ++i) {
    site->Open(Site::RouteAddress(0));
    RunFor(site->loop(), milliseconds(10));
  }
  RunFor(site->loop(), seconds(1));
  BOOST_TEST(SynsAt(0) == before);
  TakeBack(0);
  CheckOpen(0);
}

// The store comes back from a copy without the evacuation, which operators
// write again some seconds later; all watches are interrupted.
BOOST_FIXTURE_TEST_CASE(EvacuationHoldsThroughAReturnOfTheStore,
                        ReturnFixture) {
  const auto copy = site->store().table();
  Evacuate(0);
  site->store().Restore(copy);
  RunFor(site->loop(), kSpreadTime);
  CheckClosed(0);
  Restart(*site->sidecars()[0]);
  RunFor(site->loop(), milliseconds(1500));
  CheckClosed(0);
  Evacuate(0);
  TakeBack(0);
  CheckOpen(0);
}

}  // namespace cowslip::platform_adapter::test
