#include "standins/upstream/documents.h"

#include <xxhash.h>

#include <algorithm>
#include <random>

namespace cowslip::standin {
namespace {

constexpr std::size_t kBodyBytes = 1 << 20;

std::shared_ptr<const Document> Generate(const std::string& path,
                                         const std::string& version) {
  auto document = std::make_shared<Document>();
  const auto title = path + " version " + version + "\n";
  document->etag = XXH3_64bits(title.data(), title.size());
  document->body.assign(title.begin(), title.end());
  std::mt19937_64 random(document->etag);
  while (document->body.size() < kBodyBytes) {
    document->body.push_back(static_cast<std::uint8_t>(random()));
  }
  return document;
}

}  // namespace

void Documents::SetVersion(const std::string& version) {
  version_ = version;
  by_path_.clear();
}

std::shared_ptr<const Document> Documents::Get(const std::string& path) {
  auto& document = by_path_[path];
  if (!document) document = Generate(path, version_);
  return document;
}

}  // namespace cowslip::standin
