#pragma once

#include <boost/process/child.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cowslip::testing {

/// A child process that ends when its owner is destroyed.
class ChildProcess {
 public:
  /// Starts a program; throws boost::process::process_error if that fails.
  /// @param command path of the program and its arguments.
  /// @param output file that its output and errors are appended to.
  static std::unique_ptr<ChildProcess> Start(
      const std::vector<std::string>& command, const std::string& output);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  bool IsRunning();
  /// Sends a signal unless the process has ended.
  void Signal(int signal);
  /// @return what the kernel tells of the process: its state, the function in
  /// which it waits and its system call. Empty if it has ended.
  std::string KernelState();
  /// @return the exit code (128 and the signal's number if a signal ended it),
  /// std::nullopt if it still runs after the limit.
  std::optional<int> WaitForExit(std::chrono::milliseconds limit);

 private:
  explicit ChildProcess(boost::process::child child)
      : child_(std::move(child)) {}

  boost::process::child child_;
};

}  // namespace cowslip::testing
