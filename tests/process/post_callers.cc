#include "tests/process/post_callers.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <thread>

namespace cowslip::testing {
namespace {

/// Longer than a permit and the fabric's delays.
constexpr std::chrono::seconds kLateRuns{3};
constexpr std::chrono::seconds kCallerLimit{60};

}  // namespace

PostCallers::PostCallers(Deployment& deployment, int vip,
                         const std::string& prefix, int count)
    : deployment_(deployment) {
  for (int i = 0; i < count; ++i) {
    const auto claim = prefix + "-" + std::to_string(i);
    posts_.push_back(
        {claim, deployment.StartCaller({"post", deployment.Vip(vip), "/claim",
                                        claim, "--timeout-s", "25",
                                        "--ack-timeout-ms", "1000"})});
  }
}

std::vector<std::string> PostCallers::FindViolations() {
  std::vector<CallerResult> results;
  for (auto& post : posts_) results.push_back(post.caller.Finish(kCallerLimit));
  std::this_thread::sleep_for(kLateRuns);
  std::map<std::string, int> runs;
  for (const auto& entry : deployment_.ReadJournal()) ++runs[entry.claim];
  std::vector<std::string> violations;
  for (std::size_t i = 0; i < posts_.size(); ++i) {
    const auto& claim = posts_[i].claim;
    auto violation = ViolationOf(claim, results[i], runs[claim]);
    if (!violation.empty()) violations.push_back(claim + violation);
  }
  BOOST_TEST_MESSAGE(posts_.front().claim << ": done " << done_ << ", not run "
                                          << not_run_ << ", outcome unknown "
                                          << outcome_unknown_ << ", timeouts "
                                          << timeouts_);
  return violations;
}

std::string PostCallers::ViolationOf(const std::string& claim,
                                     const CallerResult& result, int runs) {
  const auto code = FindField(result.output, "code");
  const auto payload = FindField(result.output, "payload");
  if (runs > 1) return " ran " + std::to_string(runs) + " times";
  if (code == "2.04") {
    ++done_;
    if (payload != "done " + claim) return " was answered with " + payload;
    return runs == 1 ? "" : " was called done and did not run";
  }
  if (code == "4.01" || code == "5.03") {
    ++not_run_;
    return runs == 0 ? "" : " was called not run (" + code + ") and ran";
  }
  if (code == "5.04") {
    ++outcome_unknown_;
    return "";
  }
  if (result.exit_code == 3) {
    ++timeouts_;
    return "";
  }
  return " ended with " + std::to_string(result.exit_code) + " " +
         result.output;
}

}  // namespace cowslip::testing
