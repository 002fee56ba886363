#include "standins/common/http_server.h"

#include <civetweb.h>

#include <array>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <mutex>
#include <thread>

#include "cowslip/base/endpoint.h"

namespace cowslip::standin {
namespace {

constexpr std::size_t kReadChunkBytes = 65536;

std::string Decode(std::string_view text, bool is_form) {
  std::string decoded(text.size() + 1, '\0');
  const int length =
      mg_url_decode(text.data(), static_cast<int>(text.size()), decoded.data(),
                    static_cast<int>(decoded.size()), is_form ? 1 : 0);
  decoded.resize(length < 0 ? 0 : static_cast<std::size_t>(length));
  return decoded;
}

void ParseQuery(std::string_view query,
                std::map<std::string, std::string>& parameters) {
  while (!query.empty()) {
    const auto end = std::min(query.find('&'), query.size());
    const auto field = query.substr(0, end);
    const auto equals = std::min(field.find('='), field.size());
    const auto value =
        equals < field.size() ? field.substr(equals + 1) : std::string_view{};
    parameters[Decode(field.substr(0, equals), true)] = Decode(value, true);
    query.remove_prefix(std::min(end + 1, query.size()));
  }
}

std::string ReadBody(mg_connection* connection) {
  std::string body;
  std::array<char, kReadChunkBytes> chunk;
  while (true) {
    const int count = mg_read(connection, chunk.data(), chunk.size());
    if (count <= 0) return body;
    body.append(chunk.data(), static_cast<std::size_t>(count));
  }
}

HttpRequest ReadRequest(mg_connection* connection) {
  const mg_request_info* info = mg_get_request_info(connection);
  HttpRequest request;
  request.method = info->request_method;
  request.path = info->local_uri;
  const char* token = mg_get_header(connection, "X-Consul-Token");
  request.source = token != nullptr ? token : info->remote_addr;
  if (info->query_string != nullptr) {
    ParseQuery(info->query_string, request.parameters);
  }
  if (request.method != "GET") request.body = ReadBody(connection);
  return request;
}

void SendResponse(mg_connection* connection, const HttpResponse& response) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " +
                     mg_get_response_code_text(connection, response.status) +
                     "\r\n";
  text +=
      "Content-Type: " + response.content_type + "\r\nConnection: close\r\n";
  text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  for (const auto& [name, value] : response.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "\r\n" + response.body;
  mg_write(connection, text.data(), text.size());
}

void ConnectOnce(const std::string& listen) {
  constexpr std::chrono::milliseconds kPause{10};
  const auto colon = listen.rfind(':');
  const auto host = listen.substr(0, colon);
  const int port = std::atoi(listen.c_str() + colon + 1);
  std::array<char, 128> error;
  mg_connection* connection =
      mg_connect_client(host.c_str(), port, 0, error.data(), error.size());
  if (connection != nullptr) mg_close_connection(connection);
  std::this_thread::sleep_for(kPause);
}

}  // namespace

std::string HttpRequest::Parameter(const std::string& name) const {
  const auto found = parameters.find(name);
  return found == parameters.end() ? std::string{} : found->second;
}

std::optional<std::uint64_t> HttpRequest::Number(
    const std::string& name) const {
  const auto text = Parameter(name);
  std::uint64_t number = 0;
  const auto* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number);
  if (error != std::errc{} || end != last) return std::nullopt;
  return number;
}

void HttpServer::ContextDeleter::operator()(mg_context* context) const {
  // mg_stop() blocks until the accept loop wakes up, which a connection causes.
  const std::jthread waker([this](const std::stop_token& stop) {
    while (!stop.stop_requested()) ConnectOnce(listen);
  });
  mg_stop(context);
}

std::optional<HttpServer> HttpServer::Create(const std::string& listen,
                                             unsigned threads, Handler handler,
                                             LastReason<StandinError>& reason) {
  static std::once_flag once;
  std::call_once(once, [] { mg_init_library(MG_FEATURES_DEFAULT); });
  const auto thread_count = std::to_string(threads);
  std::array<const char*, 11> options = {"listening_ports",
                                         listen.c_str(),
                                         "num_threads",
                                         thread_count.c_str(),
                                         "tcp_nodelay",
                                         "1",
                                         "listen_backlog",
                                         "1024",
                                         "connection_queue",
                                         "1024",
                                         nullptr};
  if (!ParseEndpoint(listen)) {
    reason.Set(StandinError::kBadArgument, listen);
    return std::nullopt;
  }
  HttpServer server;
  server.handler_ = std::make_unique<Handler>(std::move(handler));
  const mg_callbacks callbacks{};
  server.context_ = {mg_start(&callbacks, nullptr, options.data()),
                     ContextDeleter{listen}};
  if (!server.context_) {
    reason.Set(StandinError::kCannotListen, listen);
    return std::nullopt;
  }
  mg_set_request_handler(server.context_.get(), "/", &OnRequest,
                         server.handler_.get());
  return server;
}

int HttpServer::OnRequest(mg_connection* connection, void* user) {
  constexpr int kHandled = 1;
  const auto request = ReadRequest(connection);
  const auto response = (*static_cast<Handler*>(user))(request);
  if (response) SendResponse(connection, *response);
  return kHandled;
}

}  // namespace cowslip::standin
