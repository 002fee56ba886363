#include "cowslip/engine/transfer_table.h"

#include <algorithm>
#include <cstring>

namespace cowslip::engine {

using coap::Message;
using coap::OptionNumber;

namespace {

// Fields of a Block option: number, more flag, size (RFC 7959 section 2.2).
constexpr int kBlockNumberShift = 4;
constexpr std::uint32_t kMoreBlocks = 8;
constexpr std::size_t kEtagBytes = 8;
constexpr std::uint64_t kFnvOffset = 14695981039346656037U;
constexpr std::uint64_t kFnvPrime = 1099511628211U;
constexpr std::uint16_t kUriQuery = 15;

/// Adds bytes, and then their number, to an FNV-1a hash.
void HashBytes(std::uint64_t& hash, ByteView bytes) {
  for (const auto byte : bytes) hash = (hash ^ byte) * kFnvPrime;
  hash = (hash ^ bytes.size()) * kFnvPrime;
}

/// @return a hash of the request's path and query.
std::uint64_t HashTarget(const Message& request) {
  auto hash = kFnvOffset;
  for (const auto& option : request.options) {
    const auto number = static_cast<std::uint16_t>(option.number);
    if (option.number != OptionNumber::kUriPath && number != kUriQuery) {
      continue;
    }
    HashBytes(hash, option.value);
  }
  return hash;
}

}  // namespace

bool TransferTable::StartedHere(flow::FlowSlot slot, const Message& request) {
  if (request.code != coap::Code::kGet && request.code != coap::Code::kFetch) {
    return true;
  }
  const auto block = request.FindUintOption(OptionNumber::kBlock2);
  const auto target = HashTarget(request);
  const auto found = transfers_.find(slot);
  const bool is_recorded =
      found != transfers_.end() &&
      std::find(found->second.targets.begin(), found->second.targets.end(),
                target) != found->second.targets.end();
  if (block && *block >> kBlockNumberShift > 0) return is_recorded;
  if (is_recorded) return true;
  auto& transfers = transfers_[slot];
  transfers.targets[transfers.next] = target;
  transfers.next = (transfers.next + 1) % kMaxPerFlow;
  return true;
}

Message MakeRestartResponse(const Message& request) {
  auto response = coap::MakeResponse(request, coap::Code::kContent);
  auto etag_hash = kFnvOffset;
  HashBytes(etag_hash, request.token);
  etag_hash = (etag_hash ^ request.message_id) * kFnvPrime;
  Bytes etag(kEtagBytes);
  std::memcpy(etag.data(), &etag_hash, kEtagBytes);
  response.SetOption(OptionNumber::kEtag, std::move(etag));
  const auto block = request.FindUintOption(OptionNumber::kBlock2).value_or(0);
  response.SetUintOption(OptionNumber::kBlock2, block | kMoreBlocks);
  return response;
}

}  // namespace cowslip::engine
