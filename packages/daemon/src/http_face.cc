#include "cowslip/daemon/http_face.h"

#include <CivetServer.h>

namespace cowslip::daemon {
namespace {

struct Answer {
  int status = 200;
  std::string type;
  std::string body;
};

using Producer = std::function<Answer()>;

void Send(mg_connection* connection, const Answer& answer) {
  mg_printf(connection,
            "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
            "Cache-Control: no-store\r\nConnection: close\r\n\r\n",
            answer.status, mg_get_response_code_text(connection, answer.status),
            answer.type.c_str(), answer.body.size());
  mg_write(connection, answer.body.data(), answer.body.size());
}

}  // namespace

class HttpFace::Page : public CivetHandler {
 public:
  explicit Page(Producer producer) : producer_(std::move(producer)) {}
  bool handleGet(CivetServer*, mg_connection* connection) override {
    Send(connection, producer_());
    return true;
  }

 private:
  Producer producer_;
};

HttpFace::HttpFace() = default;

HttpFace::~HttpFace() {
  // The server's threads use the pages, so they end first.
  server_.reset();
}

std::unique_ptr<HttpFace> HttpFace::Start(const Endpoint& listen,
                                          const HttpContent& content,
                                          LastReason<DaemonError>& reason) {
  const auto health = [show = content.health] {
    const auto state = show();
    return Answer{state.healthy ? 200 : 503, "text/plain", state.text + "\n"};
  };
  const auto page = [](std::function<std::string()> show, std::string type) {
    return [show = std::move(show), type = std::move(type)] {
      return Answer{200, type, show ? show() : ""};
    };
  };
  auto face = std::unique_ptr<HttpFace>(new HttpFace);
  try {
    face->server_ = std::make_unique<CivetServer>(std::vector<std::string>{
        "listening_ports", ToString(listen), "num_threads", "4"});
  } catch (const CivetException& error) {
    reason.Set(DaemonError::kHttp, ToString(listen) + ": " + error.what());
    return nullptr;
  }
  const auto add = [&](const std::string& uri, Producer producer) {
    face->pages_.push_back(std::make_unique<Page>(std::move(producer)));
    face->server_->addHandler(uri, face->pages_.back().get());
  };
  add("/healthz", health);
  add("/ticket", page(content.ticket, "application/json"));
  add("/metrics", page(content.metrics, "text/plain; version=0.0.4"));
  add("/report.txt", page(content.burn, "text/plain; charset=utf-8"));
  add("/report$", page(content.report, "text/html; charset=utf-8"));
  return face;
}

}  // namespace cowslip::daemon
