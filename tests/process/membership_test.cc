#define BOOST_TEST_MODULE membership
#include "cowslip/membership.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <thread>

#include "cowslip/consul.h"
#include "tests/process/deployment.h"
#include "tests/process/http.h"

namespace cowslip::testing {
namespace {

using std::chrono::seconds;

constexpr seconds kLongerThanLease{6};
/// Failure detection, stagger, confirmation and recording, on a busy machine.
constexpr seconds kDeathRecordLimit{90};

/// Three upstreams of one service, whose journals are checked.
class MembershipDeployment {
 public:
  MembershipDeployment() : deployment(ThreeUpstreams()) {
    LastReason<consul::ConsulError> reason;
    consul::StoreClientOptions options;
    options.urls = {"http://" + deployment.site().Store()};
    options.token = "test";
    store_ = consul::StoreClient::Create(options, reason);
  }

  consul::KeyValue Stored(int id) {
    LastReason<consul::ConsulError> reason;
    const auto found = store_->Get(
        membership::AnnouncementKey(ServiceId(1), UpstreamId(id)), reason);
    return found && found->value ? *found->value : consul::KeyValue{};
  }

  membership::Announcement Announced(int id) {
    LastReason<membership::MembershipError> reason;
    return membership::DecodeAnnouncement(Stored(id).value, reason)
        .value_or(membership::Announcement{});
  }
  std::uint64_t IncarnationOf(int id) {
    return Raw(Announced(id).upstream.incarnation);
  }

  /// Records the death of an upstream that is running.
  bool ReportFalseDeath(int id) {
    auto announcement = Announced(id);
    announcement.dead = true;
    LastReason<consul::ConsulError> reason;
    const auto stored = Stored(id);
    const auto result =
        store_->PutCas(stored.key, membership::EncodeAnnouncement(announcement),
                       stored.modify_index, reason);
    return result && result->applied;
  }

  /// Posts claims one after another.
  void Claim(int count) {
    for (int i = 0; i < count; ++i) {
      const auto claim = "claim-" + std::to_string(results_.size());
      results_[claim] = deployment.RunCaller(
          {"post", deployment.Vip(1), "/claim", claim, "--timeout-s", "8"});
    }
  }

  /// Checks the responses to all claims so far against the journals.
  void CheckClaims() {
    std::map<std::string, int> runs;
    for (const auto& entry : deployment.ReadJournal()) ++runs[entry.claim];
    for (const auto& [claim, result] : results_) {
      BOOST_TEST_CONTEXT(claim << ": " << result.output) {
        BOOST_TEST(runs[claim] <= 1);
        if (result.exit_code == 0) BOOST_TEST(runs[claim] == 1);
        const auto code = FindField(result.output, "code");
        if (code == "5.03" || code == "4.01") BOOST_TEST(runs[claim] == 0);
      }
    }
  }
  std::size_t RunsOf(const std::string& upstream) const {
    std::size_t runs = 0;
    for (const auto& entry : deployment.ReadJournal()) {
      runs += entry.upstream == upstream ? 1 : 0;
    }
    return runs;
  }
  std::size_t Count(const std::string& name, const std::string& event) const {
    const auto log = deployment.ReadLog(name);
    const auto text = "event=" + event;
    std::size_t count = 0;
    for (auto at = log.find(text); at != std::string::npos;
         at = log.find(text, at + 1)) {
      ++count;
    }
    return count;
  }
  bool Logged(const std::string& name, const std::string& event) const {
    return Count(name, event) > 0;
  }

  Deployment deployment;

 private:
  static DeploymentOptions ThreeUpstreams() {
    DeploymentOptions options;
    options.upstreams_per_service = 3;
    return options;
  }

  std::optional<consul::StoreClient> store_;
  std::map<std::string, CallerResult> results_;
};

BOOST_AUTO_TEST_CASE(KilledSidecarIsRecordedDeadAndRestarts) {
  MembershipDeployment members;
  BOOST_REQUIRE(members.deployment.Start());
  const auto first = members.IncarnationOf(11);
  members.deployment.Kill("sidecar-11");
  members.Claim(5);
  BOOST_TEST(Eventually([&] { return members.Announced(11).dead; },
                        kDeathRecordLimit));
  BOOST_TEST(!members.Announced(12).dead);
  BOOST_TEST(!members.Announced(13).dead);
  members.deployment.Restart("sidecar-11");
  BOOST_TEST(Eventually([&] { return members.IncarnationOf(11) > first; }));
  members.Claim(5);
  members.CheckClaims();
}

BOOST_AUTO_TEST_CASE(PausedSidecarChecksItsLeaseBeforeAcceptingWork) {
  MembershipDeployment members;
  BOOST_REQUIRE(members.deployment.Start());
  members.deployment.Stop("sidecar-11");
  std::this_thread::sleep_for(kLongerThanLease);
  members.deployment.SetStoreAccessDenied("sidecar-11", true);
  members.deployment.Continue("sidecar-11");
  BOOST_TEST(Eventually(
      [&] { return members.Logged("sidecar-11", "lease_in_doubt"); }));
  const auto before = members.RunsOf("upstream-11");
  members.Claim(12);
  BOOST_TEST(members.RunsOf("upstream-11") == before);
  members.deployment.SetStoreAccessDenied("sidecar-11", false);
  BOOST_TEST(Eventually([&] {
    return members.Logged("sidecar-11", "lease_confirmed") ||
           members.Logged("sidecar-11", "incarnation_claimed");
  }));
  members.Claim(5);
  members.CheckClaims();
}

BOOST_AUTO_TEST_CASE(SidecarRecordedDeadWhilePausedClaimsNewIncarnation) {
  MembershipDeployment members;
  BOOST_REQUIRE(members.deployment.Start());
  const auto first = members.IncarnationOf(11);
  members.deployment.Stop("sidecar-11");
  BOOST_TEST(Eventually([&] { return members.Announced(11).dead; },
                        kDeathRecordLimit));
  members.Claim(3);
  members.deployment.Continue("sidecar-11");
  BOOST_TEST(Eventually([&] { return members.IncarnationOf(11) > first; }));
  BOOST_TEST(!members.Announced(11).dead);
  members.Claim(6);
  members.CheckClaims();
}

BOOST_AUTO_TEST_CASE(RestartWithSameIdSupersedesPausedSidecar) {
  MembershipDeployment members;
  BOOST_REQUIRE(members.deployment.Start());
  const auto first = members.IncarnationOf(11);
  members.deployment.Stop("sidecar-11");
  std::this_thread::sleep_for(kLongerThanLease);
  members.deployment.StartSidecar("twin-19", {}, 11, 19);
  BOOST_TEST(Eventually([&] { return members.IncarnationOf(11) > first; }));
  const auto second = members.IncarnationOf(11);
  members.Claim(3);
  members.deployment.Continue("sidecar-11");
  const auto code =
      members.deployment.Process("sidecar-11").WaitForExit(kEventually);
  BOOST_TEST(code.value_or(-1) == 3);
  BOOST_TEST(members.Logged("sidecar-11", "incarnation_superseded"));
  members.Claim(6);
  BOOST_TEST(members.IncarnationOf(11) == second);
  members.CheckClaims();
}

BOOST_AUTO_TEST_CASE(StoreOutageRecordsNoDeathOfRunningSidecars) {
  MembershipDeployment members;
  BOOST_REQUIRE(members.deployment.Start());
  std::map<int, std::uint64_t> first;
  for (const int id : {11, 13}) first[id] = members.IncarnationOf(id);
  members.deployment.SetStoreFault("down?on=1");
  members.deployment.Kill("sidecar-12");
  members.Claim(10);
  std::this_thread::sleep_for(seconds(15));
  members.deployment.SetStoreFault("down?on=0");
  BOOST_TEST(Eventually([&] { return members.Announced(12).dead; },
                        kDeathRecordLimit));
  for (const int id : {11, 13}) {
    BOOST_TEST(!members.Announced(id).dead);
    BOOST_TEST(members.IncarnationOf(id) == first[id]);
  }
  members.Claim(3);
  members.CheckClaims();
}

BOOST_AUTO_TEST_CASE(FalseDeathReportCostsOneIncarnation) {
  MembershipDeployment members;
  BOOST_REQUIRE(members.deployment.Start());
  const auto first = members.IncarnationOf(11);
  members.Claim(3);
  BOOST_TEST(members.ReportFalseDeath(11));
  members.Claim(3);
  BOOST_TEST(Eventually([&] { return members.IncarnationOf(11) > first; }));
  const auto second = members.IncarnationOf(11);
  BOOST_TEST(!members.Announced(11).dead);
  members.Claim(3);
  members.CheckClaims();
  BOOST_TEST(members.IncarnationOf(11) == second);
  BOOST_TEST(members.Count("sidecar-11", "incarnation_claimed") == 1U);
}

BOOST_AUTO_TEST_CASE(DrainingSidecarEndsInTimeWithTheStoreDown) {
  MembershipDeployment members;
  BOOST_REQUIRE(members.deployment.Start());
  members.deployment.SetStoreFault("down?on=1");
  members.deployment.Terminate("sidecar-11");
  std::this_thread::sleep_for(seconds(3));
  const auto before = members.RunsOf("upstream-11");
  members.Claim(6);
  BOOST_TEST(members.RunsOf("upstream-11") == before);
  // The drain timeout of the deployment is 10 s.
  const auto code =
      members.deployment.Process("sidecar-11").WaitForExit(seconds(30));
  BOOST_TEST(code.value_or(-1) == 0);
  members.CheckClaims();
}

BOOST_AUTO_TEST_CASE(SidecarWaitsForTheStoreAndReportsIt) {
  MembershipDeployment members;
  BOOST_REQUIRE(members.deployment.Start());
  const auto first = members.IncarnationOf(11);
  members.deployment.Kill("sidecar-11");
  members.deployment.SetStoreFault("down?on=1");
  members.deployment.Restart("sidecar-11");
  const auto health = members.deployment.site().SidecarHttp(11);
  BOOST_TEST(Eventually(
      [&] { return members.Logged("sidecar-11", "announcement_failed"); }));
  BOOST_TEST(!HttpGet(health, "/healthz").has_value());
  members.deployment.SetStoreFault("down?on=0");
  BOOST_TEST(
      Eventually([&] { return HttpGet(health, "/healthz").has_value(); }));
  BOOST_TEST(members.IncarnationOf(11) > first);
}

BOOST_AUTO_TEST_CASE(CrashedUpstreamIsAnnouncedDownAndRestarts) {
  MembershipDeployment members;
  BOOST_REQUIRE(members.deployment.Start());
  members.deployment.Kill("upstream-11");
  BOOST_TEST(Eventually([&] {
    return members.Announced(11).upstream.state == UpstreamState::kDown;
  }));
  members.Claim(6);
  members.deployment.Restart("upstream-11");
  BOOST_TEST(Eventually([&] {
    return members.Announced(11).upstream.state == UpstreamState::kActive;
  }));
  members.Claim(6);
  members.CheckClaims();
}

}  // namespace
}  // namespace cowslip::testing
