#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/daemon/daemon_error.h"

class CivetServer;

namespace cowslip::daemon {

/// Whether an instance can serve, and why not.
struct Health {
  bool healthy = false;
  std::string text;
};

/// What the HTTP face shows; each function may be called from any thread.
struct HttpContent {
  std::function<Health()> health;
  std::function<std::string()> ticket;   ///< JSON.
  std::function<std::string()> metrics;  ///< Prometheus text.
  std::function<std::string()> report;   ///< HTML.
  std::function<std::string()> burn;     ///< Plain text.
};

/// The operators' HTTP face of an instance: /healthz, /ticket, /metrics,
/// /report and /report.txt.
class HttpFace {
 public:
  static std::unique_ptr<HttpFace> Start(const Endpoint& listen,
                                         const HttpContent& content,
                                         LastReason<DaemonError>& reason);
  ~HttpFace();

 private:
  class Page;
  HttpFace();

  std::vector<std::unique_ptr<Page>> pages_;
  std::unique_ptr<CivetServer> server_;
};

}  // namespace cowslip::daemon
