#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace review {

/// A child process. It is killed and waited for on destruction.
class Process {
 public:
  Process() = default;
  ~Process() { End(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Starts a program in a folder, with one environment variable besides PATH.
  /// Its output is appended to a file.
  void Start(const std::vector<std::string>& command, const std::string& folder,
             const std::string& variable, const std::string& output);
  /// @return whether the process runs; reaps it if it has ended.
  bool IsRunning();
  void Signal(int signal);
  /// Kills the process if it runs and waits for its end.
  void End();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = 0;
};

}  // namespace review
