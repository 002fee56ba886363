#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/daemon/daemon_error.h"

class CivetServer;

namespace cowslip::daemon {

/// Health of an instance, as served under /healthz.
struct Health {
  bool healthy = false;
  std::string message;  ///< Body of the response; the reason if not healthy.
};

/// Callbacks that produce the pages of an HttpServer. Each may be called from
/// any thread.
struct HttpHandlers {
  std::function<Health()> health;                ///< /healthz.
  std::function<std::string()> ticket;           ///< /ticket, JSON.
  std::function<std::string()> metrics;          ///< /metrics, Prometheus text.
  std::function<std::string()> slo_report_html;  ///< /report.
  std::function<std::string()> slo_report_text;  ///< /report.txt.
};

/// HTTP server of an instance for operators and monitoring: /healthz, /ticket,
/// /metrics, /report and /report.txt. Serves until it is destroyed.
class HttpServer {
 public:
  static std::unique_ptr<HttpServer> Start(const Endpoint& listen,
                                           const HttpHandlers& content,
                                           LastReason<DaemonError>& reason);
  ~HttpServer();

 private:
  class Page;
  HttpServer();

  std::vector<std::unique_ptr<Page>> pages_;
  std::unique_ptr<CivetServer> server_;
};

}  // namespace cowslip::daemon
