#include "cowslip/telemetry/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace cowslip::telemetry {
namespace {

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarn:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

std::string Quote(std::string_view value) {
  if (!value.empty() && value.find_first_of(" \"=\n") == value.npos) {
    return std::string(value);
  }
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c == '\n' ? ' ' : c;
  }
  return quoted + "\"";
}

}  // namespace

LogField::LogField(std::string_view key, std::string_view value)
    : text_(std::string(key) + "=" + Quote(value)) {}

void StartLog(std::string_view level, bool timestamps,
              std::string_view instance) {
  auto logger = spdlog::stderr_logger_mt("cowslip");
  const std::string prefix = timestamps ? "time=%Y-%m-%dT%H:%M:%S.%e%z " : "";
  logger->set_pattern(prefix + "level=%l instance=" + Quote(instance) + " %v");
  logger->set_level(spdlog::level::from_str(std::string(level)));
  spdlog::set_default_logger(logger);
}

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  const auto severity = ToSpdlog(level);
  if (!spdlog::should_log(severity)) return;
  std::string line = "event=" + std::string(event);
  for (const auto& field : fields) line += " " + field.text();
  spdlog::log(severity, "{}", line);
}

}  // namespace cowslip::telemetry
