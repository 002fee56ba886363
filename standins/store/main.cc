#include <iostream>

#include "standins/common/arguments.h"
#include "standins/common/http_server.h"
#include "standins/common/termination.h"
#include "standins/store/http_face.h"

namespace cowslip::standin {
namespace {

constexpr char kUsage[] =
    R"(In-memory store with the Consul KV HTTP API and fault injection.

Usage:
  standin-store --listen ADDRESS [--min-ttl-ms N]

Options:
  --listen ADDRESS  Address and port to serve.
  --min-ttl-ms N    Lowest TTL of a session [default: 10000].
)";

/// Concurrent requests; most of them are blocking queries.
constexpr unsigned kThreads = 400;

int Run(const Arguments& arguments) {
  LastReason<StandinError> reason;
  const auto termination = Termination::Create(reason);
  if (!termination) Fail(reason.Message());
  Store store;
  HttpFace api(store, arguments.Milliseconds("--min-ttl-ms"));
  const auto server = HttpServer::Create(
      arguments.Text("--listen"), kThreads,
      [&api](const HttpRequest& request) { return api.Handle(request); },
      reason);
  if (!server) Fail(reason.Message());
  std::cout << "event=listening address=" << arguments.Text("--listen")
            << std::endl;
  termination->Wait();
  store.Close();
  return 0;
}

}  // namespace
}  // namespace cowslip::standin

int main(int argc, char** argv) {
  return cowslip::standin::Run(
      cowslip::standin::Arguments(cowslip::standin::kUsage, argc, argv));
}
