#include "standins/upstream/run_queue.h"

#include <algorithm>
#include <iostream>

namespace cowslip::standin {

void RunQueue::Add(coap_async_t* request, const std::string& claim_id) {
  queued_.push_back({request, claim_id});
  StartNext();
}

bool RunQueue::RecordDuplicate(coap_async_t* request,
                               const std::string& claim_id) {
  const auto now = std::chrono::steady_clock::now();
  const auto run = in_progress_.find(request);
  const bool is_due = run != in_progress_.end() &&
                      now - run->second >= options_.service_time / 2;
  if (is_due) return false;
  journal_.Append(claim_id, now);
  return true;
}

void RunQueue::Complete(coap_async_t* request) {
  in_progress_.erase(request);
  StartNext();
}

void RunQueue::StartNext() {
  const coap_tick_t ticks =
      options_.service_time.count() * COAP_TICKS_PER_SECOND / 1000;
  while (!queued_.empty() && in_progress_.size() < options_.slots) {
    const auto run = std::move(queued_.front());
    queued_.pop_front();
    const auto now = std::chrono::steady_clock::now();
    const bool is_written = journal_.Append(run.claim_id, now);
    if (!is_written) {
      std::cerr << "event=journal_failed claim=" << run.claim_id << std::endl;
    }
    in_progress_[run.request] = now;
    // libcoap never triggers a delay of 0.
    coap_async_set_delay(run.request, std::max<coap_tick_t>(ticks, 1));
  }
  Report();
}

void RunQueue::Report() { report_.Set({in_progress_.size(), queued_.size()}); }

}  // namespace cowslip::standin
