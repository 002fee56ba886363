#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>

namespace cowslip::standin {

/// The faults that are switched on. Thread-safe.
class Faults {
 public:
  void SetDown(bool on);
  void SetDelay(std::chrono::milliseconds delay);
  /// Loses the answers of the next `count` writes.
  void LoseAnswers(std::uint64_t count);
  void SetDenied(const std::string& source, bool on);

  /// @return whether calls from a source are to be dropped without an answer.
  bool IsDown(const std::string& source);
  std::chrono::milliseconds delay();
  /// @return whether the answer of the current write is to be lost; counts it
  /// off.
  bool TakeLostAnswer();

 private:
  std::mutex mutex_;
  bool down_ = false;
  std::chrono::milliseconds delay_{0};
  std::uint64_t lost_answers_ = 0;
  std::set<std::string> denied_;
};

}  // namespace cowslip::standin
