#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "tests/process/child_process.h"

namespace cowslip::testing {

/// Output of a finished standin-caller.
struct CallerResult {
  /// 0 answered, 3 timeout, 4 error response, -1 still running at the limit.
  int exit_code = -1;
  std::string output;
};

/// A running standin-caller.
class Caller {
 public:
  Caller(std::unique_ptr<ChildProcess> process, std::string output)
      : process_(std::move(process)), output_(std::move(output)) {}

  /// Waits until the process ends, or for the limit.
  CallerResult Finish(std::chrono::milliseconds limit);
  bool IsRunning() { return process_->IsRunning(); }
  /// @return its output so far.
  std::string Output() const;

 private:
  std::unique_ptr<ChildProcess> process_;
  std::string output_;
};

/// @return the value of key="..." or key=... in a line, empty if it is missing.
std::string FindField(const std::string& line, const std::string& key);

}  // namespace cowslip::testing
