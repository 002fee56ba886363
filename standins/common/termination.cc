#include "standins/common/termination.h"

#include <poll.h>
#include <sys/signalfd.h>

#include <csignal>

namespace cowslip::standin {

std::optional<Termination> Termination::Create(
    LastReason<StandinError>& reason) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  UniqueFd fd(signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK));
  if (!fd) {
    reason.Set(StandinError::kSystem, "signalfd");
    return std::nullopt;
  }
  return Termination(std::move(fd));
}

void Termination::Wait() const {
  pollfd entry{fd_.get(), POLLIN, 0};
  while (poll(&entry, 1, -1) <= 0) {
  }
}

}  // namespace cowslip::standin
