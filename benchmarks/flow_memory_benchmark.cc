// Memory of a sidecar per flow, per redirect and per feed: the slope from
// 100,000 to 300,000 entries.

#include <malloc.h>

#include <cstdio>
#include <functional>
#include <string_view>

#include "cowslip/engine.h"
#include "cowslip/flow.h"

namespace {

using namespace cowslip;  // NOLINT(google-build-using-namespace)

constexpr std::uint32_t kStep = 100'000;
constexpr std::uint32_t kSteps = 3;
const TimePoint kNow{std::chrono::hours(1)};

FlowKey MakeKey(std::uint32_t number) {
  constexpr std::uint32_t kPorts = 50'000;
  return {{0x0a000000 + number / kPorts,
           static_cast<std::uint16_t>(number % kPorts)},
          {0x7f350001, 5683}};
}

std::size_t BytesInUse() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Adds entries in steps. Prints the memory in use after each step, and the
/// bytes per entry between the first step and the last.
void Measure(std::string_view name,
             const std::function<void(std::uint32_t)>& add) {
  const auto start = BytesInUse();
  std::size_t first = 0;
  for (std::uint32_t step = 1; step <= kSteps; ++step) {
    for (auto i = (step - 1) * kStep; i < step * kStep; ++i) add(i);
    const auto bytes = BytesInUse() - start;
    if (step == 1) first = bytes;
    std::printf("%s entries=%u bytes=%zu bytes_per_entry=%.1f\n", name.data(),
                step * kStep, bytes, double(bytes) / (step * kStep));
  }
  const auto last = BytesInUse() - start;
  std::printf("%s slope_bytes=%.1f\n", name.data(),
              double(last - first) / ((kSteps - 1) * kStep));
}

coap::Message MakeRegistration() {
  coap::Message request;
  request.code = coap::Code::kGet;
  request.token = {1, 2, 3, 4};
  request.SetUintOption(coap::OptionNumber::kObserve, 0);
  request.SetOption(coap::OptionNumber::kUriPath, {'f', 'e', 'e', 'd'});
  return request;
}

}  // namespace

int main() {
  LastReason<flow::FlowError> reason;
  auto flows = flow::FlowTable::Create(1'000'000, reason);
  Measure("flow", [&](auto i) { flows->Insert(MakeKey(i), kNow); });
  flow::RedirectTable redirects(1'000'000, std::chrono::minutes(4));
  Measure("redirect", [&](auto i) {
    redirects.Insert(MakeKey(i), UpstreamId(1), Incarnation(1), kNow);
  });
  engine::ObservationTable feeds(1'000'000);
  const auto request = MakeRegistration();
  Measure("feed", [&](auto i) { feeds.Register(flow::FlowSlot(i), request); });
}
