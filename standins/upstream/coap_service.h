#pragma once

#include <coap3/coap.h>

#include <cstdint>
#include <memory>
#include <string>

#include "cowslip/base/clock.h"
#include "cowslip/base/last_reason.h"
#include "standins/common/coap_handles.h"
#include "standins/common/standin_error.h"
#include "standins/upstream/documents.h"
#include "standins/upstream/journal.h"
#include "standins/upstream/load_report.h"
#include "standins/upstream/run_queue.h"
#include "standins/upstream/upstream_options.h"

namespace cowslip::standin {

/// The CoAP resources of an upstream: info, feed, claim, seal, dossier, sheet
/// and version. The answers of info and feed end with the query; dossier and
/// sheet serve a different document for each query.
class CoapService {
 public:
  /// @param report receives the load; must outlive the service.
  /// @return nullptr if the address or the journal is unusable.
  static std::unique_ptr<CoapService> Create(const UpstreamOptions& options,
                                             LoadReport& report,
                                             LastReason<StandinError>& reason);
  CoapService(const CoapService&) = delete;
  CoapService& operator=(const CoapService&) = delete;

  /// Serves until `stop_fd` becomes readable, then waits for the runs in
  /// progress.
  void Run(int stop_fd);

 private:
  CoapService(const UpstreamOptions& options, Journal journal,
              LoadReport& report);

  void AddResources();
  coap_resource_t* AddResource(const char* path, coap_request_t method,
                               coap_method_handler_t handler);
  void ProcessEvents();
  void NotifyFeed(TimePoint now);
  /// Number of feed intervals since the epoch of the steady clock, which is the
  /// same for all upstreams on a machine.
  std::uint64_t FeedValue() const;

  static void GetInfo(coap_resource_t*, coap_session_t*, const coap_pdu_t*,
                      const coap_string_t*, coap_pdu_t*);
  static void GetFeed(coap_resource_t*, coap_session_t*, const coap_pdu_t*,
                      const coap_string_t*, coap_pdu_t*);
  static void PostRun(coap_resource_t*, coap_session_t*, const coap_pdu_t*,
                      const coap_string_t*, coap_pdu_t*);
  static void GetDocument(coap_resource_t*, coap_session_t*, const coap_pdu_t*,
                          const coap_string_t*, coap_pdu_t*);
  static void PutVersion(coap_resource_t*, coap_session_t*, const coap_pdu_t*,
                         const coap_string_t*, coap_pdu_t*);

  const UpstreamOptions options_;
  CoapLibrary library_;
  Journal journal_;
  RunQueue runs_;
  Documents documents_;
  CoapContext context_;
  coap_resource_t* feed_ = nullptr;
  TimePoint next_feed_{};
  bool stopping_ = false;
};

}  // namespace cowslip::standin
