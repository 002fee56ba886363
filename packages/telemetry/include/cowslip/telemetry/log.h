#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace cowslip::telemetry {

/// Severity of a log line.
enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// One key=value pair of a log line. Values with spaces, quotes, "=" or line
/// breaks are quoted.
class LogField {
 public:
  LogField(std::string_view key, std::string_view value);
  template <std::integral T>
  LogField(std::string_view key, T value)
      : LogField(key, std::to_string(value)) {}

  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

/// Sets up the log of the process on standard error.
/// @param level lowest severity that is written: "debug", "info", "warn" or
///     "error".
/// @param instance written in each line.
void StartLog(std::string_view level, bool timestamps,
              std::string_view instance);

/// Writes one line in logfmt: event=NAME and the fields.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields = {});

}  // namespace cowslip::telemetry
