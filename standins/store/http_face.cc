#include "standins/store/http_face.h"

#include <nlohmann/json.hpp>
#include <thread>

#include "cowslip/base.h"
#include "standins/store/go_duration.h"

namespace cowslip::standin {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view kKvPath = "/v1/kv/";
constexpr std::string_view kCreatePath = "/v1/session/create";
constexpr std::string_view kRenewPath = "/v1/session/renew/";
constexpr std::string_view kDestroyPath = "/v1/session/destroy/";

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kServerError = 500;

constexpr milliseconds kMaxTtl = std::chrono::hours(24);
constexpr milliseconds kDefaultLockDelay = std::chrono::seconds(15);
constexpr milliseconds kDefaultWait = std::chrono::minutes(5);
constexpr milliseconds kMaxWait = std::chrono::minutes(10);

HttpResponse Plain(int status, std::string body) {
  return {status, std::move(body), "text/plain; charset=utf-8", {}};
}

HttpResponse Boolean(bool value) {
  HttpResponse response;
  response.body = value ? "true" : "false";
  return response;
}

CallKind KindOf(const HttpRequest& request) {
  if (!request.path.starts_with(kKvPath)) return CallKind::kSession;
  if (request.method != "GET") return CallKind::kWrite;
  return request.Has("index") ? CallKind::kWatch : CallKind::kRead;
}

KeyRange RangeOf(const HttpRequest& request) {
  const bool is_prefix = request.Has("recurse") || request.Has("keys");
  return {request.path.substr(kKvPath.size()), is_prefix};
}

Json ToJson(const NamedEntry& named) {
  const auto& entry = named.entry;
  Json json;
  json["LockIndex"] = entry.lock_index;
  json["Key"] = named.key;
  json["Flags"] = entry.flags;
  json["Value"] =
      entry.value.empty() ? Json() : Json(EncodeBase64(entry.value));
  json["CreateIndex"] = entry.create_index;
  json["ModifyIndex"] = entry.modify_index;
  if (!entry.session.empty()) json["Session"] = entry.session;
  return json;
}

HttpResponse KvResponse(const HttpRequest& request,
                        const KvSnapshot& snapshot) {
  HttpResponse response;
  response.headers = {{"X-Consul-Index", std::to_string(snapshot.index)},
                      {"X-Consul-Knownleader", "true"},
                      {"X-Consul-Lastcontact", "0"}};
  if (snapshot.entries.empty()) {
    response.status = kNotFound;
    return response;
  }
  if (request.Has("raw")) {
    response.content_type = "application/octet-stream";
    response.body = snapshot.entries.front().entry.value;
    return response;
  }
  Json json = Json::array();
  for (const auto& named : snapshot.entries) {
    json.push_back(request.Has("keys") ? Json(named.key) : ToJson(named));
  }
  response.body = json.dump();
  return response;
}

Json SessionJson(const std::string& id, const SessionOptions& options) {
  Json json;
  json["ID"] = id;
  json["Behavior"] = options.delete_keys ? "delete" : "release";
  json["TTL"] = options.ttl ? std::to_string(options.ttl->count()) + "ms" : "";
  json["LockDelay"] = std::chrono::nanoseconds(options.lock_delay).count();
  return json;
}

std::optional<milliseconds> DurationField(const Json& json, const char* name) {
  if (!json.contains(name) || !json[name].is_string()) return std::nullopt;
  return ParseGoDuration(json[name].get<std::string>());
}

/// @return std::nullopt if the body is malformed.
std::optional<SessionOptions> ParseSessionOptions(const std::string& body) {
  const auto json =
      body.empty() ? Json::object() : Json::parse(body, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  SessionOptions options;
  options.lock_delay =
      DurationField(json, "LockDelay").value_or(kDefaultLockDelay);
  options.delete_keys =
      json.contains("Behavior") && json["Behavior"] == "delete";
  options.ttl = DurationField(json, "TTL");
  const auto ttl = json.value("TTL", Json(""));
  const bool has_ttl =
      !ttl.is_string() || !ttl.get_ref<const std::string&>().empty();
  if (has_ttl && !options.ttl) return std::nullopt;
  return options;
}

}  // namespace

std::optional<HttpResponse> HttpFace::Handle(const HttpRequest& request) {
  if (request.path.starts_with("/fault/")) return fault_api_.Handle(request);
  if (request.path.starts_with("/v1/")) return HandleApi(request);
  if (request.path != "/stats") return Plain(kNotFound, "unknown path");
  HttpResponse response;
  response.body = stats_.ToJson(store_.waiting_watches());
  return response;
}

std::optional<HttpResponse> HttpFace::HandleApi(const HttpRequest& request) {
  const auto kind = KindOf(request);
  stats_.CountCall(kind, request.source, request.body.size());
  if (faults_.IsDown(request.source)) return std::nullopt;
  std::this_thread::sleep_for(faults_.delay());
  if (faults_.IsDown(request.source)) return std::nullopt;
  auto response = Route(request);
  const bool is_write = request.method != "GET";
  if (is_write && faults_.ConsumeLostAnswer()) return std::nullopt;
  if (faults_.IsDown(request.source)) return std::nullopt;
  stats_.CountAnswer(response.body.size());
  return response;
}

HttpResponse HttpFace::Route(const HttpRequest& request) {
  if (!request.path.starts_with(kKvPath)) return HandleSession(request);
  if (request.method == "GET") return ReadKeys(request);
  if (request.method == "PUT") return WriteKey(request);
  if (request.method == "DELETE") return DeleteKeys(request);
  return Plain(kMethodNotAllowed, "method not allowed");
}

HttpResponse HttpFace::ReadKeys(const HttpRequest& request) {
  const auto range = RangeOf(request);
  if (!request.Has("index")) return KvResponse(request, store_.Read(range));
  const auto index = request.Number("index");
  const auto wait = request.Has("wait")
                        ? ParseGoDuration(request.Parameter("wait"))
                        : kDefaultWait;
  if (!index || !wait) return Plain(kBadRequest, "invalid index or wait");
  if (*index == 0) return KvResponse(request, store_.Read(range));
  const auto deadline =
      std::chrono::steady_clock::now() + std::min(*wait, kMaxWait);
  return KvResponse(request, store_.Watch(range, *index, deadline));
}

HttpResponse HttpFace::WriteKey(const HttpRequest& request) {
  StoreWrite write{RangeOf(request).key, request.body, 0, {}, {}, {}};
  if (write.key.empty()) return Plain(kBadRequest, "missing key name");
  const bool has_bad_number =
      (request.Has("cas") && !request.Number("cas")) ||
      (request.Has("flags") && !request.Number("flags"));
  if (has_bad_number) return Plain(kBadRequest, "invalid cas or flags");
  write.flags = request.Number("flags").value_or(0);
  write.cas = request.Number("cas");
  if (request.Has("acquire")) write.acquire = request.Parameter("acquire");
  if (request.Has("release")) write.release = request.Parameter("release");
  const auto outcome = store_.Write(write);
  if (outcome == WriteOutcome::kUnknownSession) {
    return Plain(kServerError, "invalid session");
  }
  return Boolean(outcome == WriteOutcome::kApplied);
}

HttpResponse HttpFace::DeleteKeys(const HttpRequest& request) {
  const bool has_bad_cas = request.Has("cas") && !request.Number("cas");
  if (has_bad_cas) return Plain(kBadRequest, "invalid cas");
  return Boolean(store_.Delete(RangeOf(request), request.Number("cas")));
}

HttpResponse HttpFace::HandleSession(const HttpRequest& request) {
  const auto& path = request.path;
  const bool is_known = path == kCreatePath || path.starts_with(kRenewPath) ||
                        path.starts_with(kDestroyPath);
  if (!is_known) return Plain(kNotFound, "unknown path");
  if (request.method != "PUT") {
    return Plain(kMethodNotAllowed, "method not allowed");
  }
  if (path == kCreatePath) return CreateSession(request);
  if (path.starts_with(kRenewPath)) {
    return RenewSession(path.substr(kRenewPath.size()));
  }
  store_.DestroySession(path.substr(kDestroyPath.size()));
  return Boolean(true);
}

HttpResponse HttpFace::CreateSession(const HttpRequest& request) {
  const auto options = ParseSessionOptions(request.body);
  if (!options) return Plain(kBadRequest, "request decode failed");
  if (options->ttl && (*options->ttl < min_ttl_ || *options->ttl > kMaxTtl)) {
    return Plain(kBadRequest,
                 "invalid session TTL, must be between [10s=24h0m0s]");
  }
  HttpResponse response;
  response.body = Json{{"ID", store_.CreateSession(*options)}}.dump();
  return response;
}

HttpResponse HttpFace::RenewSession(const std::string& id) {
  const auto options = store_.RenewSession(id);
  if (!options) return Plain(kNotFound, "Session id '" + id + "' not found");
  HttpResponse response;
  response.body = Json::array({SessionJson(id, *options)}).dump();
  return response;
}

}  // namespace cowslip::standin
