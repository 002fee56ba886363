#pragma once

#include <filesystem>
#include <string>
#include <vector>

namespace cowslip::testing {

/// A temporary directory, removed on destruction unless COWSLIP_KEEP is set.
class TemporaryDirectory {
 public:
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  std::string File(const std::string& name) const { return path_ / name; }

 private:
  std::filesystem::path path_;
};

void WriteFile(const std::string& path, const std::string& text);
/// @return the content, empty if there is no such file.
std::string ReadFile(const std::string& path);
std::vector<std::string> ReadLines(const std::string& path);

}  // namespace cowslip::testing
