#pragma once

#include <chrono>
#include <cstdio>
#include <memory>
#include <string>

namespace review {

/// The record of a case: one line for each event, with the time since the start
/// in milliseconds.
class Record {
 public:
  explicit Record(const std::string& path)
      : file_(std::fopen(path.c_str(), "we"), &std::fclose),
        start_(std::chrono::steady_clock::now()) {}

  void Line(const std::string& text) {
    if (file_ == nullptr) return;
    std::fprintf(file_.get(), "%9.1f %s\n", ElapsedMs(), text.c_str());
    std::fflush(file_.get());
  }
  double ElapsedMs() const {
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now() - start_)
        .count();
  }

 private:
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_;
  std::chrono::steady_clock::time_point start_;
};

}  // namespace review
