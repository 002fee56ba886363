#include "cowslip/consul/store_client.h"

#include "cowslip/consul/store_url.h"
#include "http_transport.h"
#include "response_parser.h"

namespace cowslip::consul {
namespace {

using std::chrono::milliseconds;

constexpr int kNotFound = 404;
constexpr int kJitterDivisor = 16;

/// @return whether the status is a success; sets the reason if not.
bool CheckStatus(const HttpResponse& response,
                 LastReason<ConsulError>& reason) {
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  constexpr int kFirstClientError = 400;
  constexpr int kFirstServerError = 500;
  const auto status = response.status;
  if (status >= kFirstSuccess && status < kFirstRedirect) return true;
  auto error = ConsulError::kInvalidResponse;
  if (status >= kFirstClientError) error = ConsulError::kRefused;
  if (status >= kFirstServerError) error = ConsulError::kServerError;
  reason.Set(error, "status " + std::to_string(status) + " " + response.body);
  return false;
}

}  // namespace

std::optional<StoreClient> StoreClient::Create(
    const StoreClientOptions& options, Reason& reason) {
  auto transport = HttpTransport::Create(options, reason);
  if (!transport) return std::nullopt;
  return StoreClient(std::move(transport));
}

StoreClient::StoreClient(std::unique_ptr<HttpTransport> transport)
    : transport_(std::move(transport)) {}
StoreClient::StoreClient(StoreClient&&) noexcept = default;
StoreClient& StoreClient::operator=(StoreClient&&) noexcept = default;
StoreClient::~StoreClient() = default;

std::optional<GetResult> StoreClient::Get(std::string_view key,
                                          Reason& reason) {
  return ReadOne(StoreUrl::Key(key), milliseconds::zero(), reason);
}

std::optional<GetResult> StoreClient::Watch(std::string_view key,
                                            std::uint64_t index,
                                            milliseconds wait, Reason& reason) {
  return ReadOne(StoreUrl::Key(key).Blocking(index, wait), wait, reason);
}

std::optional<ListResult> StoreClient::List(std::string_view prefix,
                                            Reason& reason) {
  return ReadAll(StoreUrl::Key(prefix).Flag("recurse"), milliseconds::zero(),
                 reason);
}

std::optional<ListResult> StoreClient::WatchList(std::string_view prefix,
                                                 std::uint64_t index,
                                                 milliseconds wait,
                                                 Reason& reason) {
  return ReadAll(StoreUrl::Key(prefix).Flag("recurse").Blocking(index, wait),
                 wait, reason);
}

std::optional<CasResult> StoreClient::Put(std::string_view key,
                                          std::string_view value,
                                          Reason& reason) {
  return Write("PUT", StoreUrl::Key(key), value, reason);
}

std::optional<CasResult> StoreClient::PutCas(std::string_view key,
                                             std::string_view value,
                                             std::uint64_t modify_index,
                                             Reason& reason) {
  return Write("PUT", StoreUrl::Key(key).Parameter("cas", modify_index), value,
               reason);
}

std::optional<CasResult> StoreClient::DeleteCas(std::string_view key,
                                                std::uint64_t modify_index,
                                                Reason& reason) {
  return Write("DELETE", StoreUrl::Key(key).Parameter("cas", modify_index), {},
               reason);
}

std::optional<CasResult> StoreClient::Acquire(std::string_view key,
                                              std::string_view value,
                                              std::string_view session,
                                              Reason& reason) {
  return Write("PUT", StoreUrl::Key(key).Parameter("acquire", session), value,
               reason);
}

std::optional<Session> StoreClient::CreateSession(milliseconds ttl,
                                                  Reason& reason) {
  const auto body = R"({"LockDelay":"0s","Behavior":"release","TTL":")" +
                    std::to_string(ttl.count()) + R"(ms"})";
  const auto url = StoreUrl::Session("create", {});
  const auto response = transport_->Perform(
      {"PUT", url.text(), body, transport_->timeout()}, reason);
  if (!response || !CheckStatus(*response, reason)) return std::nullopt;
  return ParseSession(response->body, reason);
}

std::optional<RenewResult> StoreClient::RenewSession(std::string_view id,
                                                     Reason& reason) {
  const auto url = StoreUrl::Session("renew", id);
  const auto response = transport_->Perform(
      {"PUT", url.text(), {}, transport_->timeout()}, reason);
  if (!response) return std::nullopt;
  if (response->status == kNotFound) return RenewResult{false};
  if (!CheckStatus(*response, reason)) return std::nullopt;
  return RenewResult{true};
}

std::optional<CasResult> StoreClient::DestroySession(std::string_view id,
                                                     Reason& reason) {
  return Write("PUT", StoreUrl::Session("destroy", id), {}, reason);
}

void StoreClient::Cancel() { transport_->Cancel(); }

void StoreClient::Resume() { transport_->Resume(); }

const StoreCallStats& StoreClient::stats() const { return transport_->stats(); }

std::optional<GetResult> StoreClient::ReadOne(const StoreUrl& url,
                                              milliseconds wait,
                                              Reason& reason) {
  auto list = ReadAll(url, wait, reason);
  if (!list) return std::nullopt;
  GetResult result{std::nullopt, list->index};
  if (!list->values.empty()) result.value = std::move(list->values.front());
  return result;
}

std::optional<ListResult> StoreClient::ReadAll(const StoreUrl& url,
                                               milliseconds wait,
                                               Reason& reason) {
  const auto response = Read(url, wait, reason);
  if (!response) return std::nullopt;
  if (!response->index) {
    reason.Set(ConsulError::kInvalidResponse, "no X-Consul-Index");
    return std::nullopt;
  }
  if (response->status == kNotFound) return ListResult{{}, *response->index};
  auto values = ParseKeyValues(response->body, reason);
  if (!values) return std::nullopt;
  return ListResult{std::move(*values), *response->index};
}

std::optional<HttpResponse> StoreClient::Read(const StoreUrl& url,
                                              milliseconds wait,
                                              Reason& reason) {
  const auto limit = wait + wait / kJitterDivisor + transport_->timeout();
  auto response = transport_->Perform({"GET", url.text(), {}, limit}, reason);
  if (!response) return std::nullopt;
  if (response->status != kNotFound && !CheckStatus(*response, reason)) {
    return std::nullopt;
  }
  return response;
}

std::optional<CasResult> StoreClient::Write(std::string_view method,
                                            const StoreUrl& url,
                                            std::string_view body,
                                            Reason& reason) {
  const auto response = transport_->Perform(
      {method, url.text(), body, transport_->timeout()}, reason);
  if (!response || !CheckStatus(*response, reason)) return std::nullopt;
  return ParseWriteResult(response->body, reason);
}

}  // namespace cowslip::consul
