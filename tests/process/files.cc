#include "tests/process/files.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace cowslip::testing {

TemporaryDirectory::TemporaryDirectory() {
  auto name =
      (std::filesystem::temp_directory_path() / "cowslip-XXXXXX").string();
  path_ = mkdtemp(name.data());
}

TemporaryDirectory::~TemporaryDirectory() {
  if (std::getenv("COWSLIP_KEEP") != nullptr) {
    std::cerr << "kept " << path_ << "\n";
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

std::string ReadFile(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

std::vector<std::string> ReadLines(const std::string& path) {
  std::istringstream text(ReadFile(path));
  std::vector<std::string> lines;
  for (std::string line; std::getline(text, line);) lines.push_back(line);
  return lines;
}

}  // namespace cowslip::testing
