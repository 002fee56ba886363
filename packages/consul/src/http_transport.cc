#include "http_transport.h"

#include <strings.h>

#include <charconv>
#include <mutex>

namespace cowslip::consul {
namespace {

constexpr std::string_view kIndexHeader = "X-Consul-Index:";
constexpr std::chrono::milliseconds kPollLimit{1000};

std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                   void* user) {
  static_cast<HttpResponse*>(user)->body.append(data, size * count);
  return size * count;
}

std::optional<std::uint64_t> ParseIndex(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  std::uint64_t index = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), index);
  if (result.ec != std::errc{}) return std::nullopt;
  return index;
}

std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                     void* user) {
  const std::string_view line(data, size * count);
  const bool is_index =
      line.size() > kIndexHeader.size() &&
      strncasecmp(data, kIndexHeader.data(), kIndexHeader.size()) == 0;
  if (is_index) {
    static_cast<HttpResponse*>(user)->index =
        ParseIndex(line.substr(kIndexHeader.size()));
  }
  return line.size();
}

void InitialiseCurl() {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

CurlList MakeHeaders(const std::string& token) {
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  list = curl_slist_append(list, "Content-Type: application/octet-stream");
  if (!token.empty()) {
    list = curl_slist_append(list, ("X-Consul-Token: " + token).c_str());
  }
  return CurlList(list);
}

}  // namespace

std::unique_ptr<HttpTransport> HttpTransport::Create(
    const StoreClientOptions& options, Reason& reason) {
  if (options.urls.empty() ||
      options.timeout <= std::chrono::milliseconds::zero()) {
    reason.Set(ConsulError::kBadOptions,
               options.urls.empty() ? "no URL" : "timeout");
    return nullptr;
  }
  InitialiseCurl();
  CurlEasy easy(curl_easy_init());
  CurlMulti multi(curl_multi_init());
  if (!easy || !multi) {
    reason.Set(ConsulError::kBadOptions, "libcurl");
    return nullptr;
  }
  return std::unique_ptr<HttpTransport>(
      new HttpTransport(options, std::move(easy), std::move(multi)));
}

HttpTransport::HttpTransport(const StoreClientOptions& options, CurlEasy easy,
                             CurlMulti multi)
    : options_(options),
      multi_(std::move(multi)),
      easy_(std::move(easy)),
      headers_(MakeHeaders(options.token)) {}

std::optional<HttpResponse> HttpTransport::Perform(const HttpRequest& request,
                                                   Reason& reason) {
  for (std::size_t attempt = 0; attempt < options_.urls.size(); ++attempt) {
    auto response = PerformOnce(request, reason);
    if (response || reason.code() != ConsulError::kUnavailable) return response;
    current_url_ = (current_url_ + 1) % options_.urls.size();
  }
  return std::nullopt;
}

std::optional<HttpResponse> HttpTransport::PerformOnce(
    const HttpRequest& request, Reason& reason) {
  HttpResponse response;
  Prepare(request, response);
  const auto code = RunTransfer();
  CountCall();
  if (!code) {
    reason.Set(ConsulError::kCancelled, url_);
    return std::nullopt;
  }
  if (*code != CURLE_OK) {
    reason.Set(Classify(*code), url_ + ": " + curl_easy_strerror(*code));
    return std::nullopt;
  }
  response.status = static_cast<int>(GetInfo(CURLINFO_RESPONSE_CODE));
  return response;
}

void HttpTransport::Prepare(const HttpRequest& request,
                            HttpResponse& response) {
  CURL* easy = easy_.get();
  curl_easy_reset(easy);
  url_ = options_.urls[current_url_] + std::string(request.target);
  const bool is_read = request.method == "GET";
  curl_easy_setopt(easy, CURLOPT_URL, url_.c_str());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers_.get());
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &response);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(request.timeout.count()));
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(options_.timeout.count()));
  if (is_read) return;
  // libcurl repeats a request whose reused connection was closed; a write must
  // not be repeated.
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                   static_cast<long>(request.body.size()));
  curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, request.body.data());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST,
                   std::string(request.method).c_str());
}

std::optional<CURLcode> HttpTransport::RunTransfer() {
  const CurlAttachment attachment(multi_.get(), easy_.get());
  while (!cancelled_) {
    int running = 0;
    if (curl_multi_perform(multi_.get(), &running) != CURLM_OK) {
      return CURLE_FAILED_INIT;
    }
    int queued = 0;
    while (const CURLMsg* message =
               curl_multi_info_read(multi_.get(), &queued)) {
      if (message->msg == CURLMSG_DONE) return message->data.result;
    }
    curl_multi_poll(multi_.get(), nullptr, 0,
                    static_cast<int>(kPollLimit.count()), nullptr);
  }
  return std::nullopt;
}

std::int64_t HttpTransport::GetInfo(CURLINFO info) const {
  long value = 0;  // NOLINT(google-runtime-int): the type that libcurl writes.
  curl_easy_getinfo(easy_.get(), info, &value);
  return value;
}

void HttpTransport::CountCall() {
  CURL* easy = easy_.get();
  curl_off_t uploaded = 0;
  curl_off_t downloaded = 0;
  curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  curl_easy_getinfo(easy, CURLINFO_SIZE_DOWNLOAD_T, &downloaded);
  ++stats_.calls;
  stats_.bytes_out +=
      static_cast<std::uint64_t>(GetInfo(CURLINFO_REQUEST_SIZE) + uploaded);
  stats_.bytes_in +=
      static_cast<std::uint64_t>(GetInfo(CURLINFO_HEADER_SIZE) + downloaded);
}

ConsulError HttpTransport::Classify(CURLcode code) const {
  if (GetInfo(CURLINFO_REQUEST_SIZE) == 0) return ConsulError::kUnavailable;
  if (code == CURLE_OPERATION_TIMEDOUT) return ConsulError::kTimeout;
  return ConsulError::kConnectionLost;
}

void HttpTransport::Cancel() {
  cancelled_ = true;
  curl_multi_wakeup(multi_.get());
}

}  // namespace cowslip::consul
