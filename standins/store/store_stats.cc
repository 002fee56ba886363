#include "standins/store/store_stats.h"

#include <nlohmann/json.hpp>

namespace cowslip::standin {

void StoreStats::CountCall(CallKind kind, const std::string& source,
                           std::size_t request_bytes) {
  const std::lock_guard lock(mutex_);
  ++calls_[kind];
  ++calls_by_source_[source];
  bytes_in_ += request_bytes;
}

void StoreStats::CountAnswer(std::size_t answer_bytes) {
  const std::lock_guard lock(mutex_);
  bytes_out_ += answer_bytes;
}

std::string StoreStats::ToJson(std::size_t waiting_watches) {
  const std::lock_guard lock(mutex_);
  nlohmann::json json;
  json["read"] = calls_[CallKind::kRead];
  json["write"] = calls_[CallKind::kWrite];
  json["watch"] = calls_[CallKind::kWatch];
  json["session"] = calls_[CallKind::kSession];
  json["bytes_in"] = bytes_in_;
  json["bytes_out"] = bytes_out_;
  json["waiting_watches"] = waiting_watches;
  json["sources"] = nlohmann::json(calls_by_source_);
  return json.dump();
}

}  // namespace cowslip::standin
