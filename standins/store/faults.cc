#include "standins/store/faults.h"

namespace cowslip::standin {

void Faults::SetDown(bool on) {
  const std::lock_guard lock(mutex_);
  down_ = on;
}

void Faults::SetDelay(std::chrono::milliseconds delay) {
  const std::lock_guard lock(mutex_);
  delay_ = delay;
}

void Faults::LoseAnswers(std::uint64_t count) {
  const std::lock_guard lock(mutex_);
  lost_answers_ = count;
}

void Faults::SetDenied(const std::string& source, bool on) {
  const std::lock_guard lock(mutex_);
  if (on) {
    denied_.insert(source);
  } else {
    denied_.erase(source);
  }
}

bool Faults::IsDown(const std::string& source) {
  const std::lock_guard lock(mutex_);
  return down_ || denied_.count(source) != 0;
}

std::chrono::milliseconds Faults::delay() {
  const std::lock_guard lock(mutex_);
  return delay_;
}

bool Faults::ConsumeLostAnswer() {
  const std::lock_guard lock(mutex_);
  if (lost_answers_ == 0) return false;
  --lost_answers_;
  return true;
}

}  // namespace cowslip::standin
