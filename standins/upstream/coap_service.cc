#include "standins/upstream/coap_service.h"

#include <poll.h>

#include <algorithm>

namespace cowslip::standin {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Upper limit of the time between two checks of the stop descriptor.
constexpr milliseconds kMaxWait{50};
/// Upper limit of the time for which runs in progress delay the exit.
constexpr std::chrono::seconds kDrainLimit{5};
constexpr int kNoMaxAge = -1;

CoapService& ServiceOf(coap_resource_t* resource) {
  return *static_cast<CoapService*>(coap_resource_get_userdata(resource));
}

void Answer(coap_pdu_t* response, coap_pdu_code_t code,
            const std::string& payload) {
  coap_pdu_set_code(response, code);
  coap_add_data(response, payload.size(), ToBytes(payload));
}

bool IsReadable(int fd) {
  pollfd entry{fd, POLLIN, 0};
  return poll(&entry, 1, 0) > 0;
}

using DocumentReference = std::shared_ptr<const Document>;

std::string ToText(const coap_string_t* text) {
  if (text == nullptr) return {};
  return {reinterpret_cast<const char*>(text->s), text->length};
}

/// @return " query", empty without a query.
std::string QuerySuffix(const coap_string_t* query) {
  return query == nullptr ? "" : " " + ToText(query);
}

void ReleaseDocument(coap_session_t*, void* reference) {
  delete static_cast<DocumentReference*>(reference);
}

}  // namespace

std::unique_ptr<CoapService> CoapService::Create(
    const UpstreamOptions& options, LoadReport& report,
    LastReason<StandinError>& reason) {
  auto journal = Journal::Create(options.journal, reason);
  if (!journal) return nullptr;
  std::unique_ptr<CoapService> service(
      new CoapService(options, std::move(*journal), report));
  const auto address = ToCoapAddress(options.listen);
  coap_context_t* context = service->context_.get();
  if (context == nullptr ||
      coap_new_endpoint(context, &address, COAP_PROTO_UDP) == nullptr) {
    reason.Set(StandinError::kCannotListen, ToString(options.listen));
    return nullptr;
  }
  service->AddResources();
  return service;
}

CoapService::CoapService(const UpstreamOptions& options, Journal journal,
                         LoadReport& report)
    : options_(options),
      journal_(std::move(journal)),
      runs_(options_, journal_, report),
      context_(coap_new_context(nullptr)) {}

void CoapService::AddResources() {
  coap_context_set_block_mode(context_.get(),
                              COAP_BLOCK_USE_LIBCOAP | COAP_BLOCK_SINGLE_BODY);
  AddResource("info", COAP_REQUEST_GET, &GetInfo);
  AddResource("claim", COAP_REQUEST_POST, &PostRun);
  AddResource("seal", COAP_REQUEST_POST, &PostRun);
  AddResource("dossier", COAP_REQUEST_GET, &GetDocument);
  AddResource("sheet", COAP_REQUEST_GET, &GetDocument);
  AddResource("version", COAP_REQUEST_PUT, &PutVersion);
  feed_ = AddResource("feed", COAP_REQUEST_GET, &GetFeed);
  coap_resource_set_get_observable(feed_, 1);
}

coap_resource_t* CoapService::AddResource(const char* path,
                                          coap_request_t method,
                                          coap_method_handler_t handler) {
  auto* resource = coap_resource_init(coap_make_str_const(path),
                                      COAP_RESOURCE_FLAGS_NOTIFY_CON);
  coap_resource_set_userdata(resource, this);
  coap_register_request_handler(resource, method, handler);
  coap_add_resource(context_.get(), resource);
  return resource;
}

void CoapService::Run(int stop_fd) {
  next_feed_ = Clock::now() + options_.feed_interval;
  while (!IsReadable(stop_fd)) ProcessEvents();
  stopping_ = true;
  const auto limit = Clock::now() + kDrainLimit;
  while (!runs_.empty() && Clock::now() < limit) ProcessEvents();
}

void CoapService::ProcessEvents() {
  const auto until_feed =
      std::chrono::ceil<milliseconds>(next_feed_ - Clock::now());
  const auto wait = std::clamp(until_feed, milliseconds(1), kMaxWait);
  coap_io_process(context_.get(), static_cast<std::uint32_t>(wait.count()));
  NotifyFeed(Clock::now());
}

void CoapService::NotifyFeed(TimePoint now) {
  if (now < next_feed_) return;
  next_feed_ = std::max(next_feed_ + options_.feed_interval, now);
  coap_resource_notify_observers(feed_, nullptr);
}

std::uint64_t CoapService::FeedValue() const {
  return Clock::now().time_since_epoch() / options_.feed_interval;
}

void CoapService::GetInfo(coap_resource_t* resource, coap_session_t*,
                          const coap_pdu_t*, const coap_string_t* query,
                          coap_pdu_t* response) {
  const auto& options = ServiceOf(resource).options_;
  Answer(response, COAP_RESPONSE_CODE_CONTENT,
         options.name + " " + options.service + QuerySuffix(query));
}

void CoapService::GetFeed(coap_resource_t* resource, coap_session_t*,
                          const coap_pdu_t*, const coap_string_t* query,
                          coap_pdu_t* response) {
  const auto& service = ServiceOf(resource);
  const auto payload = service.options_.name + " " +
                       std::to_string(service.FeedValue()) + QuerySuffix(query);
  Answer(response, COAP_RESPONSE_CODE_CONTENT, payload);
}

void CoapService::PostRun(coap_resource_t* resource, coap_session_t* session,
                          const coap_pdu_t* request, const coap_string_t*,
                          coap_pdu_t* response) {
  auto& service = ServiceOf(resource);
  const auto claim_id = Payload(request);
  if (auto* complete = coap_find_async(session, coap_pdu_get_token(request))) {
    if (service.runs_.RecordDuplicate(complete, claim_id)) return;
    // libcoap frees the entry when this handler returns.
    service.runs_.Complete(complete);
    Answer(response, COAP_RESPONSE_CODE_CHANGED, "done " + claim_id);
    return;
  }
  if (service.stopping_) {
    coap_pdu_set_code(response, COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE);
    return;
  }
  auto* pending = coap_register_async(session, request, 0);
  if (pending == nullptr) {
    coap_pdu_set_code(response, COAP_RESPONSE_CODE_INTERNAL_ERROR);
    return;
  }
  service.runs_.Add(pending, claim_id);
}

void CoapService::GetDocument(coap_resource_t* resource,
                              coap_session_t* session,
                              const coap_pdu_t* request,
                              const coap_string_t* query,
                              coap_pdu_t* response) {
  const auto* path = coap_resource_get_uri_path(resource);
  std::string name(reinterpret_cast<const char*>(path->s), path->length);
  if (query != nullptr) name += "?" + ToText(query);
  const auto document = ServiceOf(resource).documents_.Get(name);
  coap_pdu_set_code(response, COAP_RESPONSE_CODE_CONTENT);
  coap_add_data_large_response(resource, session, request, response, query,
                               COAP_MEDIATYPE_APPLICATION_OCTET_STREAM,
                               kNoMaxAge, document->etag, document->body.size(),
                               document->body.data(), &ReleaseDocument,
                               new DocumentReference(document));
}

void CoapService::PutVersion(coap_resource_t* resource, coap_session_t*,
                             const coap_pdu_t* request, const coap_string_t*,
                             coap_pdu_t* response) {
  ServiceOf(resource).documents_.SetVersion(Payload(request));
  coap_pdu_set_code(response, COAP_RESPONSE_CODE_CHANGED);
}

}  // namespace cowslip::standin
