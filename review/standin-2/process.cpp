#include "process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>

namespace review {

void Process::Start(const std::vector<std::string>& command,
                    const std::string& folder, const std::string& variable,
                    const std::string& output) {
  std::vector<char*> arguments;
  for (const auto& each : command) {
    arguments.push_back(const_cast<char*>(each.c_str()));
  }
  arguments.push_back(nullptr);
  const std::string path = "PATH=/usr/bin:/bin";
  char* environment[] = {const_cast<char*>(variable.c_str()),
                         const_cast<char*>(path.c_str()), nullptr};
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("fork failed");
  if (pid_ > 0) return;
  // The child must not outlive the case, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(126);
  const int file =
      open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (file >= 0) {
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
  }
  for (int fd = 3; fd < 4096; ++fd) close(fd);
  if (chdir(folder.c_str()) != 0) _exit(126);
  execve(arguments[0], arguments.data(), environment);
  _exit(127);
}

bool Process::IsRunning() {
  if (pid_ <= 0) return false;
  if (waitpid(pid_, nullptr, WNOHANG) == 0) return true;
  pid_ = 0;
  return false;
}

void Process::Signal(int signal) {
  if (IsRunning()) kill(pid_, signal);
}

void Process::End() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

}  // namespace review
