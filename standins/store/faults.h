#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>

namespace cowslip::standin {

/// The injected faults of the store. Thread-safe.
class Faults {
 public:
  void SetDown(bool on);
  void SetDelay(std::chrono::milliseconds delay);
  /// Applies the next `count` writes without answering them.
  void LoseAnswers(std::uint64_t count);
  void SetDenied(const std::string& source, bool on);

  /// @return whether calls from a source are to be dropped without an answer.
  bool IsDown(const std::string& source);
  std::chrono::milliseconds delay();
  /// Decrements the number of answers to lose.
  /// @return whether the answer to the current write is lost.
  bool ConsumeLostAnswer();

 private:
  std::mutex mutex_;
  bool down_ = false;
  std::chrono::milliseconds delay_{0};
  std::uint64_t lost_answers_ = 0;
  std::set<std::string> denied_;
};

}  // namespace cowslip::standin
