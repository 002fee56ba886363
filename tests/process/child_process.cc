#include "tests/process/child_process.h"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <boost/process/args.hpp>
#include <boost/process/exe.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/io.hpp>
#include <cstdio>
#include <thread>

#include "tests/process/files.h"

namespace cowslip::testing {
namespace {

namespace bp = boost::process;

constexpr std::chrono::milliseconds kPollInterval{10};
constexpr int kSignalBase = 128;

using File = std::unique_ptr<std::FILE, decltype(&std::fclose)>;

}  // namespace

std::unique_ptr<ChildProcess> ChildProcess::Start(
    const std::vector<std::string>& command, const std::string& output) {
  const File file(std::fopen(output.c_str(), "ae"), &std::fclose);
  const std::vector<std::string> arguments(command.begin() + 1, command.end());
  // The child is also killed if the test process is.
  const auto end_with_parent = [](auto&) { prctl(PR_SET_PDEATHSIG, SIGKILL); };
  bp::child child(bp::exe = command.front(), bp::args = arguments,
                  bp::std_in<bp::null, (bp::std_out & bp::std_err)> file.get(),
                  bp::extend::on_exec_setup = end_with_parent);
  return std::unique_ptr<ChildProcess>(new ChildProcess(std::move(child)));
}

ChildProcess::~ChildProcess() {
  Signal(SIGKILL);
  std::error_code ignored;
  child_.wait(ignored);
}

bool ChildProcess::IsRunning() {
  std::error_code ignored;
  return child_.running(ignored);
}

void ChildProcess::Signal(int signal) {
  if (IsRunning()) kill(child_.id(), signal);
}

std::string ChildProcess::KernelState() {
  std::string text;
  if (!IsRunning()) return text;
  for (const char* name : {"wchan", "syscall", "stack", "status"}) {
    const auto path = "/proc/" + std::to_string(child_.id()) + "/" + name;
    text += std::string(name) + ": " + ReadFile(path) + "\n";
  }
  return text;
}

std::optional<int> ChildProcess::WaitForExit(std::chrono::milliseconds limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (IsRunning()) {
    if (std::chrono::steady_clock::now() > deadline) return std::nullopt;
    std::this_thread::sleep_for(kPollInterval);
  }
  const int status = child_.native_exit_code();
  return WIFSIGNALED(status) ? kSignalBase + WTERMSIG(status)
                             : child_.exit_code();
}

}  // namespace cowslip::testing
