#include "cowslip/daemon/http_server.h"

#include <CivetServer.h>

namespace cowslip::daemon {
namespace {

struct Response {
  int status = 200;
  std::string type;
  std::string body;
};

using Producer = std::function<Response()>;

void Send(mg_connection* connection, const Response& response) {
  mg_printf(connection,
            "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
            "Cache-Control: no-store\r\nConnection: close\r\n\r\n",
            response.status,
            mg_get_response_code_text(connection, response.status),
            response.type.c_str(), response.body.size());
  mg_write(connection, response.body.data(), response.body.size());
}

}  // namespace

class HttpServer::Page : public CivetHandler {
 public:
  explicit Page(Producer producer) : producer_(std::move(producer)) {}
  bool handleGet(CivetServer*, mg_connection* connection) override {
    Send(connection, producer_());
    return true;
  }

 private:
  Producer producer_;
};

HttpServer::HttpServer() = default;

HttpServer::~HttpServer() {
  // The server's threads use the pages, so the server is destroyed first.
  server_.reset();
}

std::unique_ptr<HttpServer> HttpServer::Start(const Endpoint& listen,
                                              const HttpHandlers& content,
                                              LastReason<DaemonError>& reason) {
  const auto health = [check = content.health] {
    const auto state = check();
    return Response{state.healthy ? 200 : 503, "text/plain",
                    state.message + "\n"};
  };
  const auto make_page = [](std::function<std::string()> show,
                            std::string type) {
    return [show = std::move(show), type = std::move(type)] {
      return Response{200, type, show ? show() : ""};
    };
  };
  auto http_server = std::unique_ptr<HttpServer>(new HttpServer);
  try {
    http_server->server_ =
        std::make_unique<CivetServer>(std::vector<std::string>{
            "listening_ports", ToString(listen), "num_threads", "4"});
  } catch (const CivetException& error) {
    reason.Set(DaemonError::kHttp, ToString(listen) + ": " + error.what());
    return nullptr;
  }
  const auto add = [&](const std::string& uri, Producer producer) {
    http_server->pages_.push_back(std::make_unique<Page>(std::move(producer)));
    http_server->server_->addHandler(uri, http_server->pages_.back().get());
  };
  add("/healthz", health);
  add("/ticket", make_page(content.ticket, "application/json"));
  add("/metrics", make_page(content.metrics, "text/plain; version=0.0.4"));
  add("/report.txt",
      make_page(content.slo_report_text, "text/plain; charset=utf-8"));
  add("/report$",
      make_page(content.slo_report_html, "text/html; charset=utf-8"));
  return http_server;
}

}  // namespace cowslip::daemon
