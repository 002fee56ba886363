#include "http_get.h"

#include <curl/curl.h>

#include <memory>

namespace cowslip::ctl {
namespace {

struct EasyCleanup {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};

std::size_t Append(char* data, std::size_t size, std::size_t count,
                   void* body) {
  static_cast<std::string*>(body)->append(data, size * count);
  return size * count;
}

}  // namespace

std::optional<std::string> HttpGet(const Endpoint& server,
                                   const std::string& path,
                                   std::chrono::milliseconds timeout) {
  const std::unique_ptr<CURL, EasyCleanup> easy(curl_easy_init());
  if (!easy) return std::nullopt;
  const auto url = "http://" + ToString(server) + path;
  std::string body;
  curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS,
                   static_cast<long>(timeout.count()));  // NOLINT
  curl_easy_setopt(easy.get(), CURLOPT_FAILONERROR, 1L);
  curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, Append);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &body);
  if (curl_easy_perform(easy.get()) != CURLE_OK) return std::nullopt;
  return body;
}

}  // namespace cowslip::ctl
