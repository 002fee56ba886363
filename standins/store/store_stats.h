#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace cowslip::standin {

/// Kinds of calls to the store.
enum class CallKind { kRead, kWrite, kWatch, kSession };

/// Counters of the calls to the store. Thread-safe.
class StoreStats {
 public:
  void CountCall(CallKind kind, const std::string& source,
                 std::size_t request_bytes);
  void CountAnswer(std::size_t answer_bytes);

  /// @param waiting_watches number of watches that wait now.
  std::string ToJson(std::size_t waiting_watches);

 private:
  std::mutex mutex_;
  std::map<CallKind, std::uint64_t> calls_;
  std::map<std::string, std::uint64_t> calls_by_source_;
  std::uint64_t bytes_in_ = 0;
  std::uint64_t bytes_out_ = 0;
};

}  // namespace cowslip::standin
