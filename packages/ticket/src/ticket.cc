#include "cowslip/ticket/ticket.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cstdio>
#include <map>
#include <set>

#include "cowslip/ticket/ticket_state.h"
#include "cowslip/yaml.h"

namespace cowslip::ticket {
namespace {

using yaml::YamlError;

constexpr std::uint64_t kMaxTicketNumber = 1'000'000'000;
constexpr std::uint64_t kMaxServiceId = 1'000'000;
constexpr std::uint64_t kMaxFlowsPerUpstream = 1'000'000;
constexpr std::uint64_t kMaxQueue = 100'000;
constexpr yaml::Range<std::chrono::milliseconds> kIdleRange{
    std::chrono::seconds(1), std::chrono::hours(24)};
constexpr yaml::Range<std::chrono::milliseconds> kRequestRange{
    std::chrono::milliseconds(100), std::chrono::minutes(10)};

TicketError ToTicketError(YamlError error) {
  switch (error) {
    case YamlError::kOk:
      return TicketError::kOk;
    case YamlError::kSyntax:
      return TicketError::kSyntax;
    case YamlError::kUnknownKey:
      return TicketError::kUnknownKey;
    case YamlError::kMissingKey:
      return TicketError::kMissingKey;
    case YamlError::kWrongType:
      return TicketError::kWrongType;
    case YamlError::kOutOfRange:
      return TicketError::kOutOfRange;
    case YamlError::kDuplicateKey:
      return TicketError::kDuplicate;
  }
  return TicketError::kSyntax;
}

Service ReadService(yaml::MapReader& reader) {
  Service service;
  service.id = ServiceId(
      static_cast<std::uint32_t>(reader.Number("id", {1, kMaxServiceId})));
  service.name = reader.Text("name");
  service.address = reader.Address("address");
  service.protocol =
      static_cast<Protocol>(reader.Choice("protocol", {"datagram", "coap"}));
  service.prefer = static_cast<Preference>(
      reader.Choice("prefer", {"continuity", "balance"}));
  service.idle_timeout =
      reader.Time("idle_timeout", kIdleRange, service.idle_timeout);
  service.request_timeout =
      reader.Time("request_timeout", kRequestRange, service.request_timeout);
  service.max_flows = static_cast<std::uint32_t>(
      reader.Number("max_flows", {1, kMaxFlowsPerUpstream}, service.max_flows));
  service.max_queue = static_cast<std::uint32_t>(
      reader.Number("max_queue", {0, kMaxQueue}, service.max_queue));
  reader.Finish();
  return service;
}

/// A parsed service with the reader of its list element, which reports errors
/// with its line.
struct ServiceElement {
  Service service;
  yaml::MapReader reader;
};

/// Reports an error if an earlier element of the ticket uses the same id, name
/// or address.
void CheckDuplicates(const Service& service, std::set<std::string>& used,
                     yaml::MapReader& reader) {
  const auto id = "id " + std::to_string(Raw(service.id));
  if (!used.insert(id).second) reader.SetError(YamlError::kDuplicateKey, "id");
  if (!used.insert("name " + service.name).second) {
    reader.SetError(YamlError::kDuplicateKey, "name");
  }
  if (!used.insert("address " + ToString(service.address)).second) {
    reader.SetError(YamlError::kDuplicateKey, "address");
  }
}

/// Checks name and address of a service against the services that the ticket
/// doesn't change.
void CheckAgainstUnchanged(const std::map<ServiceId, Service>& unchanged,
                           ServiceElement& element) {
  for (const auto& [id, other] : unchanged) {
    if (other.name == element.service.name) {
      element.reader.SetError(YamlError::kDuplicateKey, "name",
                              "held by service " + std::to_string(Raw(id)));
    }
    if (other.address == element.service.address) {
      element.reader.SetError(YamlError::kDuplicateKey, "address",
                              "held by service " + std::to_string(Raw(id)));
    }
  }
}

std::vector<ServiceElement> ReadServices(yaml::MapReader& reader,
                                         std::set<std::string>& used) {
  std::vector<ServiceElement> elements;
  std::size_t index = 0;
  for (const auto& node : reader.List("services", false)) {
    auto element = reader.Element(node, "services", index++);
    auto service = ReadService(element);
    CheckDuplicates(service, used, element);
    elements.push_back({std::move(service), std::move(element)});
  }
  return elements;
}

/// @param state nullptr to check the ticket without regard to other tickets.
/// @param unknown_service set if a service to remove doesn't exist.
std::vector<ServiceId> ReadRemoved(yaml::MapReader& reader,
                                   std::set<std::string>& used,
                                   const TicketState* state,
                                   bool& unknown_service) {
  std::vector<ServiceId> removed;
  std::size_t index = 0;
  for (const auto& node : reader.List("removed", false)) {
    auto element = reader.Element(node, "removed", index++);
    const auto id = ServiceId(
        static_cast<std::uint32_t>(element.Number("id", {1, kMaxServiceId})));
    if (!used.insert("id " + std::to_string(Raw(id))).second) {
      element.SetError(YamlError::kDuplicateKey, "id");
    }
    const bool missing = state != nullptr && state->Find(id) == nullptr;
    if (element.Finish() && missing) {
      unknown_service = true;
      element.SetError(YamlError::kOutOfRange, "id");
    }
    removed.push_back(id);
  }
  return removed;
}

std::vector<FoldedTicket> ReadFolded(yaml::MapReader& reader) {
  std::vector<FoldedTicket> folded;
  std::size_t index = 0;
  for (const auto& node : reader.List("folded", false)) {
    auto element = reader.Element(node, "folded", index++);
    FoldedTicket ticket;
    ticket.number =
        TicketNumber(element.Number("ticket", {1, kMaxTicketNumber}));
    ticket.author = element.Text("author");
    ticket.note = element.Text("note", "");
    ticket.digest = element.Text("digest");
    element.Finish();
    folded.push_back(std::move(ticket));
  }
  return folded;
}

Ticket ReadTicket(yaml::MapReader& reader, const TicketState* state,
                  bool snapshot, bool& unknown_service) {
  Ticket ticket;
  ticket.number = TicketNumber(reader.Number("ticket", {1, kMaxTicketNumber}));
  ticket.author = reader.Text("author");
  ticket.note = reader.Text("note", "");
  std::set<std::string> used;
  auto elements = ReadServices(reader, used);
  ticket.removed = ReadRemoved(reader, used, state, unknown_service);
  if (snapshot) ticket.folded = ReadFolded(reader);
  reader.Finish();
  auto unchanged =
      state != nullptr ? state->services() : std::map<ServiceId, Service>{};
  for (const auto id : ticket.removed) unchanged.erase(id);
  for (const auto& element : elements) unchanged.erase(element.service.id);
  for (auto& element : elements) {
    CheckAgainstUnchanged(unchanged, element);
    ticket.services.push_back(std::move(element.service));
  }
  return ticket;
}

std::optional<Ticket> Parse(std::string_view text, std::string_view file,
                            const TicketState* state, bool snapshot,
                            LastReason<TicketError>& reason) {
  LastReason<YamlError> yaml_reason;
  const auto node = yaml::ParseMap(text, file, yaml_reason);
  Ticket ticket;
  bool unknown_service = false;
  if (node) {
    yaml::MapReader reader(*node, file, "", yaml_reason);
    ticket = ReadTicket(reader, state, snapshot, unknown_service);
  }
  if (yaml_reason.ok()) return ticket;
  reason.Set(unknown_service ? TicketError::kUnknownService
                             : ToTicketError(yaml_reason.code()),
             yaml_reason.detail());
  return std::nullopt;
}

/// Writes a service on one line; optional fields only if they differ from the
/// defaults.
void EmitService(YAML::Emitter& out, const Service& service) {
  const Service defaults;
  out << YAML::Flow << YAML::BeginMap;
  out << YAML::Key << "id" << YAML::Value << Raw(service.id);
  out << YAML::Key << "name" << YAML::Value << service.name;
  out << YAML::Key << "address" << YAML::Value << ToString(service.address);
  out << YAML::Key << "protocol" << YAML::Value
      << (service.protocol == Protocol::kCoap ? "coap" : "datagram");
  out << YAML::Key << "prefer" << YAML::Value
      << (service.prefer == Preference::kBalance ? "balance" : "continuity");
  if (service.idle_timeout != defaults.idle_timeout) {
    out << YAML::Key << "idle_timeout" << YAML::Value
        << yaml::FormatDuration(service.idle_timeout);
  }
  if (service.request_timeout != defaults.request_timeout) {
    out << YAML::Key << "request_timeout" << YAML::Value
        << yaml::FormatDuration(service.request_timeout);
  }
  if (service.max_flows != defaults.max_flows) {
    out << YAML::Key << "max_flows" << YAML::Value << service.max_flows;
  }
  if (service.max_queue != defaults.max_queue) {
    out << YAML::Key << "max_queue" << YAML::Value << service.max_queue;
  }
  out << YAML::EndMap;
}

void EmitFolded(YAML::Emitter& out, const FoldedTicket& folded) {
  out << YAML::Flow << YAML::BeginMap;
  out << YAML::Key << "ticket" << YAML::Value << Raw(folded.number);
  out << YAML::Key << "author" << YAML::Value << folded.author;
  out << YAML::Key << "note" << YAML::Value << folded.note;
  out << YAML::Key << "digest" << YAML::Value << folded.digest;
  out << YAML::EndMap;
}

}  // namespace

std::string TicketDigest(std::string_view text) {
  constexpr int kDigitsPerHalf = 16;
  const auto hash = XXH3_128bits(text.data(), text.size());
  std::array<char, 2 * kDigitsPerHalf + 1> hex{};
  std::snprintf(hex.data(), hex.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return hex.data();
}

FoldedTicket Summarize(const Ticket& ticket, std::string_view text) {
  constexpr std::size_t kMaxNoteBytes = 120;
  return {ticket.number, ticket.author, ticket.note.substr(0, kMaxNoteBytes),
          TicketDigest(text)};
}

std::optional<Ticket> ParseTicket(std::string_view text, std::string_view file,
                                  LastReason<TicketError>& reason) {
  return Parse(text, file, nullptr, false, reason);
}

std::optional<Ticket> ParseTicketAgainst(const TicketState& state,
                                         std::string_view text,
                                         std::string_view file,
                                         LastReason<TicketError>& reason) {
  auto ticket = ParseTicket(text, file, reason);
  if (!ticket || Raw(ticket->number) != Raw(state.number()) + 1) return ticket;
  return Parse(text, file, &state, false, reason);
}

std::optional<Ticket> ParseSnapshot(std::string_view text,
                                    std::string_view file,
                                    LastReason<TicketError>& reason) {
  return Parse(text, file, nullptr, true, reason);
}

std::string FormatTicket(const Ticket& ticket) {
  YAML::Emitter out;
  out << YAML::BeginMap;
  out << YAML::Key << "ticket" << YAML::Value << Raw(ticket.number);
  out << YAML::Key << "author" << YAML::Value << ticket.author;
  out << YAML::Key << "note" << YAML::Value << ticket.note;
  out << YAML::Key << "services" << YAML::Value << YAML::BeginSeq;
  for (const auto& service : ticket.services) EmitService(out, service);
  out << YAML::EndSeq;
  out << YAML::Key << "removed" << YAML::Value << YAML::BeginSeq;
  for (const auto id : ticket.removed) {
    out << YAML::Flow << YAML::BeginMap << YAML::Key << "id" << YAML::Value
        << Raw(id) << YAML::EndMap;
  }
  out << YAML::EndSeq;
  if (!ticket.folded.empty()) {
    out << YAML::Key << "folded" << YAML::Value << YAML::BeginSeq;
    for (const auto& folded : ticket.folded) EmitFolded(out, folded);
    out << YAML::EndSeq;
  }
  out << YAML::EndMap;
  return out.c_str();
}

std::size_t FormattedSize(const Service& service) {
  constexpr std::size_t kListItemBytes = 5;  // "\n  - "
  YAML::Emitter out;
  EmitService(out, service);
  return out.size() + kListItemBytes;
}

}  // namespace cowslip::ticket
