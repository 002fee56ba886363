#include <iostream>

#include "standins/common/arguments.h"
#include "standins/common/http_server.h"
#include "standins/common/termination.h"
#include "standins/upstream/coap_service.h"
#include "standins/upstream/datagram_service.h"
#include "standins/upstream/health_api.h"

namespace cowslip::standin {
namespace {

constexpr char kUsage[] = R"(Upstream: a CoAP server or a datagram echo server.

Usage:
  standin-upstream --listen ADDRESS --protocol PROTOCOL --name NAME [options]

Options:
  --listen ADDRESS     Address and port to serve.
  --protocol PROTOCOL  coap or datagram.
  --name NAME          Name in all answers.
  --service NAME       Service in the answer of /info [default: none].
  --journal FILE       Appends a line for each run that starts.
  --service-ms N       Duration of a run [default: 0].
  --slots N            Maximum number of concurrent runs [default: 1].
  --feed-ms N          Interval of the feed's values, which are the same for
                       all upstreams on a machine [default: 500].
  --health ADDRESS     Address and port of /health, /load and /lie.
)";

constexpr unsigned kHealthThreads = 4;

UpstreamOptions Options(const Arguments& arguments) {
  UpstreamOptions options;
  options.listen = arguments.Address("--listen");
  options.name = arguments.Text("--name");
  options.service = arguments.Text("--service");
  if (arguments.Has("--journal")) options.journal = arguments.Text("--journal");
  options.service_time = arguments.Milliseconds("--service-ms");
  options.slots = arguments.Number("--slots");
  options.feed_interval = arguments.Milliseconds("--feed-ms");
  if (options.slots == 0) Fail("--slots must be above 0");
  if (options.feed_interval.count() == 0) Fail("--feed-ms must be above 0");
  return options;
}

std::optional<HttpServer> ServeHealth(const Arguments& arguments,
                                      HealthApi& api) {
  if (!arguments.Has("--health")) return std::nullopt;
  LastReason<StandinError> reason;
  auto server = HttpServer::Create(
      arguments.Text("--health"), kHealthThreads,
      [&api](const HttpRequest& request) { return api.Handle(request); },
      reason);
  if (!server) Fail(reason.Message());
  return server;
}

void LogListening(const UpstreamOptions& options) {
  std::cout << "event=listening name=" << options.name
            << " address=" << ToString(options.listen) << std::endl;
}

void ServeCoap(const UpstreamOptions& options, LoadReport& report,
               int stop_fd) {
  LastReason<StandinError> reason;
  const auto service = CoapService::Create(options, report, reason);
  if (!service) Fail(reason.Message());
  LogListening(options);
  service->Run(stop_fd);
}

void ServeDatagrams(const UpstreamOptions& options, int stop_fd) {
  LastReason<StandinError> reason;
  const auto service = DatagramService::Create(options, reason);
  if (!service) Fail(reason.Message());
  LogListening(options);
  service->Run(stop_fd);
}

int Run(const Arguments& arguments) {
  LastReason<StandinError> reason;
  const auto termination = Termination::Create(reason);
  if (!termination) Fail(reason.Message());
  const auto options = Options(arguments);
  LoadReport report;
  HealthApi api(report);
  const auto server = ServeHealth(arguments, api);
  const auto protocol = arguments.Text("--protocol");
  if (protocol == "coap") {
    ServeCoap(options, report, termination->fd());
  } else if (protocol == "datagram") {
    ServeDatagrams(options, termination->fd());
  } else {
    Fail("unknown protocol: " + protocol);
  }
  return 0;
}

}  // namespace
}  // namespace cowslip::standin

int main(int argc, char** argv) {
  return cowslip::standin::Run(
      cowslip::standin::Arguments(cowslip::standin::kUsage, argc, argv));
}
