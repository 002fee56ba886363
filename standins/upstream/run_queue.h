#pragma once

#include <coap3/coap.h>

#include <deque>
#include <map>
#include <string>

#include "cowslip/base/clock.h"
#include "standins/upstream/journal.h"
#include "standins/upstream/load_report.h"
#include "standins/upstream/upstream_options.h"

namespace cowslip::standin {

/// Simulates the execution of non-idempotent requests: a limited number runs
/// concurrently, the others wait in a FIFO queue.
class RunQueue {
 public:
  RunQueue(const UpstreamOptions& options, const Journal& journal,
           LoadReport& report)
      : options_(options), journal_(journal), report_(report) {}

  /// Queues a request; its handler is called again when the run is complete.
  void Add(coap_async_t* request, const std::string& claim_id);
  /// Writes a journal line for a request that arrived again before half of its
  /// service time had passed.
  /// @return false if the handler was called because the run is complete.
  bool RecordDuplicate(coap_async_t* request, const std::string& claim_id);
  /// Ends the run of a request and starts the next one.
  void Complete(coap_async_t* request);

  bool empty() const { return in_progress_.empty(); }

 private:
  struct QueuedRun {
    coap_async_t* request;
    std::string claim_id;
  };

  void StartNext();
  void Report();

  const UpstreamOptions& options_;
  const Journal& journal_;
  LoadReport& report_;
  /// Start time of each run.
  std::map<coap_async_t*, TimePoint> in_progress_;
  std::deque<QueuedRun> queued_;
};

}  // namespace cowslip::standin
