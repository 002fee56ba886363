// Sidecars of evacuated data centres refuse new connections, whichever balancer
// sends them, and callers are told at once if there is no other data centre.
#define BOOST_TEST_MODULE segment_evacuation
#include <boost/test/unit_test.hpp>

#include "segment/simulation.h"

namespace cowslip::segment::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two balancers that list all sidecars as open, which is outdated once a test
/// tells some sidecars that their data centre is evacuated.
struct Fixture {
  Fixture() {
    sim.AddBalancer(0);
    sim.AddBalancer(1);
    for (int i = 0; i < kSidecars; ++i) sim.AddSidecar(i, "vault");
    sim.SetRoutes(1, "vault");
    sim.UpdateAllMembers();
    for (int i = 0; i < kSidecars; ++i) sim.Report(i);
    sim.Run(milliseconds(100));
  }

  void SetStatus(DataCenterStatus status, const std::vector<int>& sidecars) {
    for (const int i : sidecars) sim.sidecar(i).SetDataCenterStatus(status);
  }
  void OpenCallers(int count) {
    for (int i = 0; i < count; ++i) {
      sim.AddCaller().Open();
      sim.Run(milliseconds(10));
    }
    sim.Run(seconds(1));
  }
  int Count(CallState state) {
    int count = 0;
    for (const auto& caller : sim.callers()) count += caller->state() == state;
    return count;
  }
  int Runs(const std::vector<int>& sidecars) {
    int runs = 0;
    for (const int i : sidecars) runs += sim.upstream(i).runs();
    return runs;
  }

  static constexpr int kSidecars = 6;
  const std::vector<int> evacuated{0, 1, 2};
  const std::vector<int> others{3, 4, 5};
  const std::vector<int> all{0, 1, 2, 3, 4, 5};
  Simulation sim;
};

}  // namespace

// The balancer's knowledge doesn't matter: the sidecar decides.
BOOST_FIXTURE_TEST_CASE(OutdatedBalancerCantPlaceConnections, Fixture) {
  SetStatus(DataCenterStatus::kEvacuated, evacuated);
  sim.SpreadCallers();
  OpenCallers(60);
  BOOST_TEST(Runs(evacuated) == 0);
  BOOST_TEST(Count(CallState::kAnswered) == 60);
  std::uint64_t refused = 0;
  for (const int i : evacuated) {
    refused += sim.sidecar(i).stats().evacuated;
    BOOST_TEST(!sim.sidecar(i).open());
    BOOST_TEST(sim.sidecar(i).stats().taken == 0U);
  }
  BOOST_TEST(refused > 0U);
}

// Guards against a sidecar that accepts between its start, or the end of a
// suspension, and the first message with the state.
BOOST_FIXTURE_TEST_CASE(NothingIsAcceptedBeforeTheStateIsKnown, Fixture) {
  SetStatus(DataCenterStatus::kUnknown, {0, 1});
  SetStatus(DataCenterStatus::kUnconfirmed, {2});
  OpenCallers(60);
  BOOST_TEST(Runs(evacuated) == 0);
  BOOST_TEST(Count(CallState::kAnswered) == 60);
  for (const int i : evacuated) {
    BOOST_TEST(sim.sidecar(i).stats().evacuated == 0U);
  }
  // Balancers needn't change their lists for the time of one exchange.
  BOOST_TEST(!sim.sidecar(0).open());
  BOOST_TEST(sim.sidecar(2).open());
}

BOOST_FIXTURE_TEST_CASE(AllEvacuatedGivesAnImmediateReset, Fixture) {
  SetStatus(DataCenterStatus::kEvacuated, all);
  sim.SpreadCallers();
  OpenCallers(20);
  BOOST_TEST(Count(CallState::kReset) == 20);
  for (const auto& caller : sim.callers()) {
    BOOST_TEST((caller->elapsed() < milliseconds(20)));
  }
  BOOST_TEST(Runs(all) == 0);
  BOOST_TEST(sim.balancer(0).stats().evacuated +
                 sim.balancer(1).stats().evacuated ==
             20U);
  BOOST_TEST(sim.balancer(0).stats().overloaded == 0U);
}

// The reset says that no upstream is to be had anywhere. If one sidecar refuses
// for another reason, a later attempt may succeed.
BOOST_FIXTURE_TEST_CASE(OtherRefusalsAreNoReasonForAReset, Fixture) {
  SetStatus(DataCenterStatus::kEvacuated, {0, 1, 2, 3, 4});
  sim.Report(5, /*draining=*/true);
  sim.AddCaller().Open();
  sim.Run(milliseconds(150));
  BOOST_TEST(Count(CallState::kReset) == 0);
  BOOST_TEST(sim.balancer(0).stats().evacuated == 0U);
  // The upstream is back before the copy of the SYN ends.
  sim.RestartUpstream(5);
  sim.Report(5);
  sim.Run(seconds(1));
  BOOST_TEST(Count(CallState::kAnswered) == 1);
}

BOOST_FIXTURE_TEST_CASE(OpenFlowsAreServed, Fixture) {
  OpenCallers(40);
  const int before = Runs(evacuated);
  BOOST_TEST(before > 0);
  SetStatus(DataCenterStatus::kEvacuated, evacuated);
  sim.SpreadCallers();
  for (auto& caller : sim.callers()) caller->Ask();
  sim.Run(seconds(1));
  BOOST_TEST(Count(CallState::kAnswered) == 40);
  BOOST_TEST(Runs(evacuated) == 2 * before);
}

// Guards against callers that wait for a flow which a restarted upstream has
// lost, as long as its data centre is evacuated.
BOOST_FIXTURE_TEST_CASE(LostFlowsOfAnEvacuatedDataCenterAreReset, Fixture) {
  OpenCallers(40);
  SetStatus(DataCenterStatus::kEvacuated, evacuated);
  const int lost = Runs(evacuated);
  for (const int i : evacuated) {
    sim.RestartUpstream(i);
    sim.Report(i);
  }
  for (auto& caller : sim.callers()) caller->Ask();
  sim.Run(seconds(1));
  BOOST_TEST(Count(CallState::kReset) == lost);
  BOOST_TEST(Count(CallState::kAnswered) == 40 - lost);
}

// The last acknowledgement of a sidecar says that it is closed, and there is no
// further one while it gets no packets.
BOOST_FIXTURE_TEST_CASE(TakenBackDataCenterGetsConnectionsAgain, Fixture) {
  SetStatus(DataCenterStatus::kEvacuated, evacuated);
  OpenCallers(40);
  BOOST_TEST(Runs(evacuated) == 0);
  SetStatus(DataCenterStatus::kOpen, evacuated);
  for (const int i : evacuated) {
    sim.balancer(0).OnSidecarOpened(Simulation::SidecarAddress(i));
  }
  OpenCallers(40);
  BOOST_TEST(Runs(evacuated) > 5);
}

// A SYN that was offered to the sidecar with the least expected wait.
BOOST_FIXTURE_TEST_CASE(ChosenCandidateRefusesOnceItIsEvacuated, Fixture) {
  Outbox out;
  SegmentFrame frame;
  frame.service = TagOf("vault");
  frame.forced = true;
  frame.hop_count = 2;
  frame.hops = {Simulation::SidecarAddress(0), Simulation::SidecarAddress(1)};
  Segment segment;
  segment.flow = {{0x64400001, 1024}, {0xC6120001, 443}};
  segment.syn = true;
  SetStatus(DataCenterStatus::kEvacuated, {0});
  sim.sidecar(0).OnFrame(frame, segment, Bytes(20), sim.now(), out);
  BOOST_TEST(sim.sidecar(0).stats().taken == 0U);
  // Its refusal alone is no reason for a reset.
  BOOST_REQUIRE(out.effects().size() == 1U);
  const auto ack = DecodeAck(out.Datagram(out.effects()[0]));
  BOOST_REQUIRE(ack.has_value());
  BOOST_TEST((ack->verdict == AckStatus::kNotFound));
  BOOST_TEST(!ack->evacuated);
}

// Acknowledgements of earlier builds have 0 in place of the new field, and
// those of this build have the same size.
BOOST_AUTO_TEST_CASE(AcknowledgementTellsOfEvacuation) {
  Ack ack;
  ack.verdict = AckStatus::kNotFound;
  ack.syn = true;
  ack.evacuated = true;
  Bytes datagram;
  AppendAck(ack, datagram);
  BOOST_TEST(datagram.size() == 48U);
  BOOST_TEST(DecodeAck(datagram)->evacuated);
  BOOST_TEST(!DecodeAck(datagram)->overloaded);
  datagram[43] = 0;
  BOOST_TEST(!DecodeAck(datagram)->evacuated);
}

// A sidecar of an earlier build passes the count on and doesn't add to it.
BOOST_AUTO_TEST_CASE(SidecarsOfEarlierBuildsAreNotCounted) {
  SegmentFrame frame;
  frame.hop_count = 3;
  frame.asked = 2;
  Bytes datagram;
  AppendSegmentFrame(frame, Bytes(20), datagram);
  ByteView packet;
  const auto read = DecodeSegmentFrame(datagram, packet);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->asked == 2);
  BOOST_TEST(!read->AllEvacuated());
}

}  // namespace cowslip::segment::test
