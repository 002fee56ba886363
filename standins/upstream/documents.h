#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cowslip::standin {

/// One version of a large document.
struct Document {
  std::vector<std::uint8_t> body;
  std::uint64_t etag = 0;
};

/// Generates large documents whose body depends only on path and version.
class Documents {
 public:
  Documents() { SetVersion("1"); }

  /// Sets the version of all documents.
  void SetVersion(const std::string& version);
  /// @return the document of a path in the current version.
  std::shared_ptr<const Document> Get(const std::string& path);

 private:
  std::string version_;
  std::map<std::string, std::shared_ptr<const Document>> by_path_;
};

}  // namespace cowslip::standin
