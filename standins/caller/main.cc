#include <xxhash.h>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

#include "standins/caller/coap_client.h"
#include "standins/caller/datagram_caller.h"
#include "standins/caller/exit_code.h"
#include "standins/caller/observer.h"
#include "standins/common/arguments.h"

namespace cowslip::standin {
namespace {

constexpr char kUsage[] = R"(Client of a service behind the load balancer.

Usage:
  standin-caller get ADDRESS PATH [options]
  standin-caller post ADDRESS PATH PAYLOAD [options]
  standin-caller put ADDRESS PATH PAYLOAD [options]
  standin-caller observe ADDRESS PATH --seconds N [options]
  standin-caller fetch ADDRESS PATH [options]
  standin-caller datagram ADDRESS TEXT --count N [options]

Options:
  --seconds N      Duration of the observation.
  --count N        Number of datagrams.
  --interval-ms N  Pause after each datagram [default: 0].
  --out FILE       Writes the notifications here instead of to stdout.
  --timeout-s N    Time limit of one exchange [default: 30].
  --local ADDRESS  Address and port to send from.
  --ack-timeout-ms N  Time before the first retransmission, 1000 or more
                      [default: 2000].

PATH may have a query, as in /feed?name.

Exit codes: 0 complete answer, 3 timeout, 4 CoAP error response.
)";

std::optional<Endpoint> Local(const Arguments& arguments) {
  if (!arguments.Has("--local")) return std::nullopt;
  return arguments.Address("--local");
}

std::chrono::seconds Timeout(const Arguments& arguments) {
  return std::chrono::seconds(arguments.Number("--timeout-s"));
}

std::unique_ptr<CoapClient> NewClient(const Arguments& arguments) {
  LastReason<StandinError> reason;
  auto client = CoapClient::Create(arguments.Address("ADDRESS"),
                                   Local(arguments), reason);
  if (!client) Fail(reason.Message());
  client->SetAckTimeout(arguments.Milliseconds("--ack-timeout-ms"));
  return client;
}

ExitCode PrintTimeout(const CoapClient& client) {
  const std::string why =
      client.failure().empty() ? "no_answer" : client.failure();
  std::cout << "timeout=" << why << std::endl;
  return ExitCode::kTimeout;
}

std::string Digest(const std::string& bytes) {
  std::ostringstream text;
  text << std::hex << std::setw(16) << std::setfill('0')
       << XXH3_64bits(bytes.data(), bytes.size());
  return text.str();
}

void PrintAnswer(const CoapResponse& response, bool is_fetch) {
  std::cout << "code=" << response.code;
  if (is_fetch && !response.is_error) {
    std::cout << " size=" << response.payload.size()
              << " xxh3=" << Digest(response.payload)
              << " etag=" << response.etag;
  } else {
    std::cout << " payload=\"" << response.payload << "\"";
  }
  std::cout << std::endl;
}

ExitCode Request(const Arguments& arguments) {
  CoapRequest request;
  request.path = arguments.Text("PATH");
  if (arguments.Has("post")) request.method = COAP_REQUEST_CODE_POST;
  if (arguments.Has("put")) request.method = COAP_REQUEST_CODE_PUT;
  if (arguments.Has("PAYLOAD")) request.payload = arguments.Text("PAYLOAD");
  const auto client = NewClient(arguments);
  const auto response = client->Exchange(request, Timeout(arguments));
  if (!response) return PrintTimeout(*client);
  PrintAnswer(*response, arguments.Has("fetch"));
  return response->is_error ? ExitCode::kErrorResponse : ExitCode::kAnswered;
}

ExitCode Observe(const Arguments& arguments) {
  std::ofstream file;
  if (arguments.Has("--out")) file.open(arguments.Text("--out"));
  const auto client = NewClient(arguments);
  const auto start = std::chrono::steady_clock::now();
  Observer observer(arguments.Has("--out") ? file : std::cout, start);
  CoapRequest request;
  request.path = arguments.Text("PATH");
  request.observe = true;
  client->Send(request);
  const auto end = start + std::chrono::seconds(arguments.Number("--seconds"));
  client->ReceiveUntil(end, [&observer](const CoapResponse& response) {
    observer.OnResponse(response, std::chrono::steady_clock::now());
    return !response.is_error;
  });
  std::cout << observer.Finish(std::chrono::steady_clock::now()) << std::endl;
  if (!observer.error_code().empty()) return ExitCode::kErrorResponse;
  if (!client->failure().empty()) return PrintTimeout(*client);
  return observer.notifications() > 0 ? ExitCode::kAnswered
                                      : ExitCode::kTimeout;
}

ExitCode SendDatagrams(const Arguments& arguments) {
  LastReason<StandinError> reason;
  const auto caller = DatagramCaller::Create(arguments.Address("ADDRESS"),
                                             Local(arguments), reason);
  if (!caller) Fail(reason.Message());
  const auto count = arguments.Number("--count");
  std::uint64_t answered = 0;
  for (std::uint64_t number = 0; number < count; ++number) {
    const bool has_answer = caller->Exchange(arguments.Text("TEXT"), number,
                                             Timeout(arguments), std::cout);
    if (has_answer) ++answered;
    std::this_thread::sleep_for(arguments.Milliseconds("--interval-ms"));
  }
  std::cout << "sent=" << count << " answered=" << answered << std::endl;
  return answered == count ? ExitCode::kAnswered : ExitCode::kTimeout;
}

ExitCode Run(const Arguments& arguments) {
  if (arguments.Has("observe")) return Observe(arguments);
  if (arguments.Has("datagram")) return SendDatagrams(arguments);
  return Request(arguments);
}

}  // namespace
}  // namespace cowslip::standin

int main(int argc, char** argv) {
  const cowslip::standin::Arguments arguments(cowslip::standin::kUsage, argc,
                                              argv);
  return static_cast<int>(cowslip::standin::Run(arguments));
}
