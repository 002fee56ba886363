#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include "cowslip/base/last_reason.h"
#include "cowslip/consul/consul_error.h"
#include "cowslip/consul/store_call_stats.h"
#include "cowslip/consul/store_client_options.h"
#include "curl_handles.h"
#include "http_request.h"
#include "http_response.h"

namespace cowslip::consul {

/// Sends HTTP requests with libcurl. If a base URL is unavailable, the next one
/// is tried.
class HttpTransport {
 public:
  using Reason = LastReason<ConsulError>;

  /// @return nullptr if the options are invalid.
  static std::unique_ptr<HttpTransport> Create(
      const StoreClientOptions& options, Reason& reason);

  /// @return the response, whatever its status; std::nullopt if there is none.
  std::optional<HttpResponse> Perform(const HttpRequest& request,
                                      Reason& reason);

  /// Ends the request in progress and refuses later ones. Callable from any
  /// thread.
  void Cancel();
  void Resume() { cancelled_ = false; }

  std::chrono::milliseconds timeout() const { return options_.timeout; }
  const StoreCallStats& stats() const { return stats_; }

 private:
  HttpTransport(const StoreClientOptions& options, CurlEasy easy,
                CurlMulti multi);

  void Prepare(const HttpRequest& request, HttpResponse& response);
  std::optional<HttpResponse> PerformOnce(const HttpRequest& request,
                                          Reason& reason);
  /// @return std::nullopt if the transfer was cancelled.
  std::optional<CURLcode> RunTransfer();
  /// @return the value of a numeric property of the last transfer.
  std::int64_t GetInfo(CURLINFO info) const;
  void CountCall();
  ConsulError Classify(CURLcode code) const;

  StoreClientOptions options_;
  CurlMulti multi_;
  CurlEasy easy_;
  CurlList headers_;
  std::size_t current_url_ = 0;
  std::string url_;
  StoreCallStats stats_;
  std::atomic<bool> cancelled_{false};
};

}  // namespace cowslip::consul
