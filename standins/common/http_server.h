#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cowslip/base/last_reason.h"
#include "standins/common/http_request.h"
#include "standins/common/http_response.h"
#include "standins/common/standin_error.h"

struct mg_context;
struct mg_connection;

namespace cowslip::standin {

/// A multi-threaded HTTP server that calls one handler for every request.
class HttpServer {
 public:
  /// Returns std::nullopt to close the connection without an answer.
  using Handler =
      std::function<std::optional<HttpResponse>(const HttpRequest&)>;

  /// @param listen "address:port".
  /// @param threads number of requests served concurrently.
  static std::optional<HttpServer> Create(const std::string& listen,
                                          unsigned threads, Handler handler,
                                          LastReason<StandinError>& reason);

 private:
  struct ContextDeleter {
    void operator()(mg_context* context) const;

    std::string listen;
  };

  HttpServer() = default;
  static int OnRequest(mg_connection* connection, void* user);

  std::unique_ptr<Handler> handler_;
  std::unique_ptr<mg_context, ContextDeleter> context_;
};

}  // namespace cowslip::standin
