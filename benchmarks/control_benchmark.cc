#include <benchmark/benchmark.h>
#include <malloc.h>

#include "cowslip/daemon/view_builder.h"
#include "cowslip/relay.h"

// Cost of a ticket and of an announcement for the control thread.

namespace cowslip {
namespace {

ticket::Ticket MakeTicket(std::uint64_t number, std::uint32_t first,
                          std::uint32_t count) {
  ticket::Ticket result;
  result.number = TicketNumber(number);
  result.author = "quispe";
  for (std::uint32_t i = first; i < first + count; ++i) {
    ticket::Service service;
    service.id = ServiceId{i};
    service.name = "service-" + std::to_string(i);
    service.address = {0x0a000000 + i, 5683};
    service.max_queue = static_cast<std::uint32_t>(number);
    result.services.push_back(service);
  }
  return result;
}

relay::TicketText ToText(const ticket::Ticket& source) {
  return {source.number, false, ticket::FormatTicket(source)};
}

std::map<std::string, relay::StoreEntry> MakeItems(std::uint32_t count,
                                                   std::uint32_t services) {
  std::map<std::string, relay::StoreEntry> items;
  for (std::uint32_t i = 1; i <= count; ++i) {
    membership::Announcement announcement;
    announcement.upstream.id = UpstreamId{i};
    announcement.upstream.service = ServiceId{1 + i % services};
    announcement.upstream.sidecar = {0x0b000000 + i, 7000};
    announcement.upstream.data_center = "callao";
    const auto key = membership::AnnouncementKey(announcement.upstream.service,
                                                 announcement.upstream.id);
    items[key] = {key, membership::EncodeAnnouncement(announcement), i};
  }
  return items;
}

/// Applies a ticket that changes one service of many.
void ApplyTicket(benchmark::State& state) {
  const auto services = static_cast<std::uint32_t>(state.range(0));
  relay::TicketLog log;
  LastReason<ticket::TicketError> reason;
  log.Apply(ToText(MakeTicket(1, 1, services)), reason);
  std::uint64_t number = 2;
  while (state.KeepRunning()) {
    log.Apply(ToText(MakeTicket(number++, 1, 1)), reason);
  }
  if (!reason.ok()) state.SkipWithError("ticket refused");
}
BENCHMARK(ApplyTicket)->Arg(730)->Arg(7300)->Unit(benchmark::kMillisecond);

/// Builds the membership view after one of many announcements has changed.
void BuildView(benchmark::State& state) {
  const auto members = static_cast<std::uint32_t>(state.range(0));
  const auto services = static_cast<std::uint32_t>(state.range(1));
  relay::TicketLog log;
  LastReason<ticket::TicketError> reason;
  log.Apply(ToText(MakeTicket(1, 1, services)), reason);
  const auto before = mallinfo2().uordblks;
  auto items = MakeItems(members, services);
  daemon::ViewBuilder control;
  control.UpdateItems(items, {}, TimePoint{});
  auto view = control.BuildView(log.state());
  state.counters["bytes_per_member"] =
      static_cast<double>(mallinfo2().uordblks - before) / members;
  while (state.KeepRunning()) {
    ++items.begin()->second.position.revision;
    control.UpdateItems(items, {}, TimePoint{});
    view = control.BuildView(log.state());
  }
}
BENCHMARK(BuildView)
    ->Args({4900, 730})
    ->Args({49'000, 7300})
    ->Unit(benchmark::kMillisecond);

/// Encodes and decodes one announcement as a line of a relay stream.
void EncodeAndDecodeItem(benchmark::State& state) {
  const auto item = MakeItems(1, 1).begin()->second;
  while (state.KeepRunning()) {
    LastReason<relay::RelayError> reason;
    const auto line = relay::EncodeMessage(item);
    benchmark::DoNotOptimize(relay::DecodeMessage(
        std::string_view(line).substr(0, line.size() - 1), reason));
  }
}
BENCHMARK(EncodeAndDecodeItem)->Unit(benchmark::kMicrosecond);

/// Applies a snapshot of many services, as a process does when it starts.
void ApplySnapshot(benchmark::State& state) {
  LastReason<ticket::TicketError> reason;
  const auto services = static_cast<std::uint32_t>(state.range(0));
  const auto ticket_state =
      ticket::TicketState::FromSnapshot(MakeTicket(9, 1, services));
  const relay::TicketText text{TicketNumber{9}, true,
                               ticket::FormatTicket(ticket_state.Snapshot())};
  while (state.KeepRunning()) {
    relay::TicketLog log;
    benchmark::DoNotOptimize(log.Apply(text, reason));
  }
}
BENCHMARK(ApplySnapshot)->Arg(730)->Arg(7300)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace cowslip

BENCHMARK_MAIN();
