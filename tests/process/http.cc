#include "tests/process/http.h"

#include <curl/curl.h>

#include <cstdlib>
#include <memory>
#include <sstream>

namespace cowslip::testing {
namespace {

constexpr long kTimeoutMs = 2000;  // NOLINT(google-runtime-int): libcurl's type

std::size_t Append(char* data, std::size_t size, std::size_t count,
                   void* body) {
  static_cast<std::string*>(body)->append(data, size * count);
  return size * count;
}

std::optional<std::string> Perform(const char* method,
                                   const std::string& server,
                                   const std::string& target) {
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(
      curl_easy_init(), &curl_easy_cleanup);
  const auto url = "http://" + server + target;
  std::string body;
  curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, kTimeoutMs);
  curl_easy_setopt(easy.get(), CURLOPT_FAILONERROR, 1L);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, &Append);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &body);
  if (curl_easy_perform(easy.get()) != CURLE_OK) return std::nullopt;
  return body;
}

}  // namespace

std::optional<std::string> HttpGet(const std::string& server,
                                   const std::string& target) {
  return Perform("GET", server, target);
}

double FindMetric(const std::string& page, const std::string& name) {
  std::istringstream lines(page);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with(name + " ")) {
      return std::strtod(line.c_str() + name.size(), nullptr);
    }
  }
  return 0;
}

bool HttpPut(const std::string& server, const std::string& target) {
  return Perform("PUT", server, target).has_value();
}

}  // namespace cowslip::testing
