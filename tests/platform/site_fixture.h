#pragma once

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>

#include "platform/soak/guarantee_checker.h"
#include "platform/standins/site.h"

namespace cowslip::platform_adapter::test {

/// A running site whose violated guarantees fail the test.
struct SiteFixture {
  explicit SiteFixture(int number) {
    LastReason<AdapterError> reason;
    auto events = checks.Events();
    events.on_syn = [this, check = events.on_syn](auto& upstream,
                                                  const auto& segment) {
      ++syns[&upstream];
      check(upstream, segment);
    };
    site = standins::Site::Start(number, std::move(events), reason);
    BOOST_REQUIRE_MESSAGE(site != nullptr, reason.Message());
    checks.Attach(*site);
  }
  ~SiteFixture() {
    for (const auto& violation : checks.violations()) BOOST_ERROR(violation);
  }
  SiteFixture(const SiteFixture&) = delete;
  SiteFixture& operator=(const SiteFixture&) = delete;

  soak::GuaranteeChecker checks;
  std::unique_ptr<standins::Site> site;
  /// SYNs that each upstream has received.
  std::map<const standins::UpstreamHost*, int> syns;
};

}  // namespace cowslip::platform_adapter::test
