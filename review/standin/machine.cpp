#include "review/standin/machine.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>

namespace review {
namespace {

/// As `run` of the deploy file names it, from the repository's root.
const char* const kProgram = "target/cowslip-platform";

}  // namespace

Machine::~Machine() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Machine::Start() {
  const std::string settings = "COWSLIPPITCH_SETTINGS=" + options_.settings;
  const char* path = std::getenv("PATH");
  const std::string path_variable =
      std::string("PATH=") + (path == nullptr ? "/usr/bin" : path);
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(options_.log.c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    std::array<char*, 3> arguments{const_cast<char*>(kProgram),
                                   const_cast<char*>(options_.role.c_str()),
                                   nullptr};
    std::array<char*, 3> environment{const_cast<char*>(settings.c_str()),
                                     const_cast<char*>(path_variable.c_str()),
                                     nullptr};
    execve(kProgram, arguments.data(), environment.data());
    _exit(127);
  }
  pid_ = child;
  ++starts_;
  restart_at_.reset();
  kill_at_.reset();
}

void Machine::Signal(int signal) {
  if (pid_ > 0) kill(pid_, signal);
}

void Machine::Stop(std::chrono::milliseconds grace) {
  Signal(SIGTERM);
  kill_at_ = cowslip::platform_adapter::Now() + grace;
}

void Machine::Poll() {
  const auto now = cowslip::platform_adapter::Now();
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = 0;
    kill_at_.reset();
    restart_at_ = now + restart_delay_;
  }
  if (pid_ > 0 && kill_at_ && now >= *kill_at_) {
    kill_at_.reset();
    Signal(SIGKILL);
  }
  if (pid_ == 0 && restart_at_ && now >= *restart_at_) Start();
}

}  // namespace review
