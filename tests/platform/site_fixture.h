#pragma once

#include <boost/test/unit_test.hpp>
#include <memory>

#include "platform/soak/guarantee_checker.h"
#include "platform/standins/site.h"

namespace cowslip::platform_adapter::test {

/// A running site whose violated guarantees fail the test.
struct SiteFixture {
  explicit SiteFixture(int number) {
    LastReason<AdapterError> reason;
    site = standins::Site::Start(number, checks.Events(), reason);
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
};

}  // namespace cowslip::platform_adapter::test
