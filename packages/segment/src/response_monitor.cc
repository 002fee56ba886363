#include "cowslip/segment/response_monitor.h"

#include <algorithm>

namespace cowslip::segment {

void ResponseMonitor::End(const FlowKey& flow, const Exchange& exchange,
                          TimePoint now) {
  if (exchange.answered) {
    statistics_.OnAnswered(flow.service, exchange.bytes, !exchange.is_upload,
                           now);
  } else {
    statistics_.OnFailed(flow.service, now);
  }
}

void ResponseMonitor::OnStarted(const FlowKey& flow,
                                const scheduling::RequestTerms& terms,
                                TimePoint now) {
  OnFlowEnded(flow, now);
  if (exchanges_.size() >= kCapacity) return;
  exchanges_[flow].due = now + terms.time_limit.value_or(kDefaultTimeLimit);
}

void ResponseMonitor::OnUpstreamPacket(const FlowEntry& entry,
                                       const Segment& segment,
                                       const LoadEstimator& load,
                                       TimePoint now) {
  const auto found = exchanges_.find(segment.flow);
  if (found == exchanges_.end()) return;
  auto& exchange = found->second;
  if (segment.length > 0 && !exchange.answered) {
    exchange.answered = true;
    exchange.is_upload =
        entry.caller_next_seq - entry.request_seq >= kUploadBytes;
    exchange.first_seq = segment.seq;
    exchange.first_byte = now;
    const auto time = load.TimeInSlot(entry.request, now);
    if (time) statistics_.OnFirstByte(segment.flow.service, *time, now);
  }
  if (segment.length > 0) {
    // Repeated packets don't count twice.
    const auto end = segment.end_seq() - exchange.first_seq;
    if (static_cast<std::int32_t>(end) > 0) {
      exchange.bytes = std::max(exchange.bytes, end);
    }
    exchange.due = std::min(now + kEndOfResponse,
                            exchange.first_byte + Duration(kLongResponse));
  }
  if (!segment.fin && !segment.rst) return;
  End(segment.flow, exchange, now);
  exchanges_.erase(found);
}

void ResponseMonitor::OnFlowEnded(const FlowKey& flow, TimePoint now) {
  const auto found = exchanges_.find(flow);
  if (found == exchanges_.end()) return;
  End(flow, found->second, now);
  exchanges_.erase(found);
}

void ResponseMonitor::Reset() {
  exchanges_.clear();
  statistics_.Reset();
}

void ResponseMonitor::OnTick(TimePoint now) {
  std::erase_if(exchanges_, [&](const auto& entry) {
    const auto& [flow, exchange] = entry;
    if (now < exchange.due) return false;
    End(flow, exchange, now);
    return true;
  });
}

void ResponseMonitor::OnResume() {
  std::erase_if(exchanges_,
                [](const auto& entry) { return !entry.second.answered; });
}

}  // namespace cowslip::segment
