#include "cowslip/telemetry/bounded_log.h"

#include <fcntl.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <string>

#include "cowslip/telemetry/log.h"

namespace cowslip::telemetry {
namespace {

using SteadyClock = std::chrono::steady_clock;

/// Log sink that buffers lines in memory. Not thread-safe.
class BoundedSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit BoundedSink(const LogLimits& limits) : limits_(limits) {}

  void WriteBuffer() {
    const auto now = SteadyClock::now();
    if (now - window_start_ >= std::chrono::seconds(1)) {
      window_start_ = now;
      lines_in_window_ = 0;
      if (dropped_ != reported_) {
        const auto unreported = dropped_ - reported_;
        reported_ = dropped_;
        Log(LogLevel::kWarn, "log_lines_left_out",
            {{"lines", unreported}, {"total", dropped_}});
      }
    }
    if (buffer_.empty()) return;
    const auto written = write(STDOUT_FILENO, buffer_.data(), buffer_.size());
    if (written > 0) buffer_.erase(0, static_cast<std::size_t>(written));
  }

  std::uint64_t dropped() const { return dropped_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    // Warnings and errors are rare; they are exempt from the line limit.
    const bool over_line_limit = message.level < spdlog::level::warn &&
                                 lines_in_window_ >= limits_.lines_per_second;
    if (over_line_limit ||
        buffer_.size() + line.size() > limits_.buffer_bytes) {
      ++dropped_;
      return;
    }
    ++lines_in_window_;
    buffer_.append(line.data(), line.size());
  }
  void flush_() override {}

 private:
  LogLimits limits_;
  std::string buffer_;
  SteadyClock::time_point window_start_{};
  std::size_t lines_in_window_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_ = 0;
};

std::shared_ptr<BoundedSink>& Sink() {
  static std::shared_ptr<BoundedSink> sink;
  return sink;
}

}  // namespace

void StartBoundedLog(std::string_view level, std::string_view instance,
                     const LogLimits& limits) {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  Sink() = std::make_shared<BoundedSink>(limits);
  auto logger = std::make_shared<spdlog::logger>("cowslip", Sink());
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l instance=" +
                          std::string(instance) + " %v",
                      spdlog::pattern_time_type::utc);
  logger->set_level(spdlog::level::from_str(std::string(level)));
  spdlog::set_default_logger(logger);
}

void FlushLog() {
  if (Sink()) Sink()->WriteBuffer();
}

std::uint64_t DroppedLogLines() { return Sink() ? Sink()->dropped() : 0; }

}  // namespace cowslip::telemetry
