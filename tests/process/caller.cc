#include "tests/process/caller.h"

#include "tests/process/files.h"

namespace cowslip::testing {

CallerResult Caller::Finish(std::chrono::milliseconds limit) {
  const auto code = process_->WaitForExit(limit);
  return {code.value_or(-1), Output()};
}

std::string Caller::Output() const { return ReadFile(output_); }

std::string FindField(const std::string& line, const std::string& key) {
  const auto found = (" " + line).find(" " + key + "=");
  if (found == std::string::npos) return {};
  const auto start = found + key.size() + 1;
  const bool is_quoted = start < line.size() && line[start] == '"';
  const auto first = start + (is_quoted ? 1 : 0);
  const auto end = line.find_first_of(is_quoted ? "\"" : " \n", first);
  return line.substr(first, end - first);
}

}  // namespace cowslip::testing
