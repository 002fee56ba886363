#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "tests/process/deployment.h"

namespace cowslip::testing {

/// Callers that each post one claim with a unique name, all at the same time.
class PostCallers {
 public:
  /// @param prefix of the claims; must be unique in the deployment.
  PostCallers(Deployment& deployment, int vip, const std::string& prefix,
              int count);

  /// Waits for all answers, and for runs that may still come.
  /// @return a line for each violation: a claim that ran twice, "not run"
  /// returned for a claim that ran, "done" for one that did not, or any other
  /// response than "done", "not run" and "outcome unknown".
  std::vector<std::string> FindViolations();

  int done() const { return done_; }
  int not_run() const { return not_run_; }
  int outcome_unknown() const { return outcome_unknown_; }
  int timeouts() const { return timeouts_; }

 private:
  struct Post {
    std::string claim;
    Caller caller;
  };

  std::string ViolationOf(const std::string& claim, const CallerResult& result,
                          int runs);

  Deployment& deployment_;
  std::vector<Post> posts_;
  int done_ = 0;
  int not_run_ = 0;
  int outcome_unknown_ = 0;
  int timeouts_ = 0;
};

}  // namespace cowslip::testing
