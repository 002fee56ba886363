#include "stop_signal.h"

#include <signal.h>
#include <time.h>
#include <unistd.h>

namespace cowslip::daemon {
namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

StopSignal::StopSignal() {
  const auto signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

bool StopSignal::WaitFor(std::chrono::milliseconds time) const {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
  const timespec limit{
      seconds.count(),
      std::chrono::duration_cast<std::chrono::nanoseconds>(time - seconds)
          .count()};
  const auto signals = StopSignals();
  return sigtimedwait(&signals, nullptr, &limit) > 0;
}

void StopSignal::Raise() { kill(getpid(), SIGTERM); }

}  // namespace cowslip::daemon
