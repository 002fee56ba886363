#include "health_poller.h"

#include <curl/curl.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>

namespace cowslip::daemon {
namespace {

constexpr std::chrono::milliseconds kStopCheckInterval{100};
constexpr int kChecksPerPoll = 10;
constexpr std::chrono::milliseconds kRequestTimeout{500};
constexpr std::size_t kMaxBodyBytes = 4096;

std::size_t AppendBody(char* data, std::size_t size, std::size_t count,
                       void* body) {
  auto& text = *static_cast<std::string*>(body);
  if (text.size() + size * count > kMaxBodyBytes) return 0;
  text.append(data, size * count);
  return size * count;
}

/// @return whether the status is 2xx and the body isn't a JSON object with
///     "healthy": false.
bool IsHealthy(const std::string& url) {
  constexpr long kFirstBadStatus = 300;
  const std::unique_ptr<CURL, void (*)(CURL*)> handle(curl_easy_init(),
                                                      curl_easy_cleanup);
  if (handle == nullptr) return false;
  std::string body;
  curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS,
                   static_cast<long>(kRequestTimeout.count()));
  curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &body);
  if (curl_easy_perform(handle.get()) != CURLE_OK) return false;
  long status = 0;
  curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
  const auto json = nlohmann::json::parse(body, nullptr, false);
  const bool reports_unhealthy =
      json.is_object() && json.contains("healthy") && json["healthy"] == false;
  return status < kFirstBadStatus && !reports_unhealthy;
}

}  // namespace

HealthPoller::HealthPoller(std::string url, Report report)
    : url_(std::move(url)), report_(std::move(report)) {
  if (!url_.empty()) thread_ = std::thread([this] { Run(); });
}

HealthPoller::~HealthPoller() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

void HealthPoller::Run() {
  for (int step = 0; !stopping_; ++step) {
    if (step % kChecksPerPoll == 0) report_(IsHealthy(url_));
    std::this_thread::sleep_for(kStopCheckInterval);
  }
}

}  // namespace cowslip::daemon
