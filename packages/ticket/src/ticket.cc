#include "cowslip/ticket/ticket.h"

#include <set>

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

TicketError FromYaml(YamlError error) {
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

void CheckDuplicates(const Service& service, std::set<std::string>& seen,
                     yaml::MapReader& reader) {
  const auto id = "id " + std::to_string(Raw(service.id));
  if (!seen.insert(id).second) reader.Fail(YamlError::kDuplicateKey, "id");
  if (!seen.insert("name " + service.name).second) {
    reader.Fail(YamlError::kDuplicateKey, "name");
  }
  if (!seen.insert("address " + ToString(service.address)).second) {
    reader.Fail(YamlError::kDuplicateKey, "address");
  }
}

Ticket ReadTicket(yaml::MapReader& reader) {
  Ticket ticket;
  ticket.number = TicketNumber(reader.Number("ticket", {1, kMaxTicketNumber}));
  ticket.author = reader.Text("author");
  ticket.note = reader.Text("note", "");
  std::set<std::string> seen;
  std::size_t index = 0;
  for (const auto& node : reader.List("services", false)) {
    auto element = reader.Element(node, "services", index++);
    ticket.services.push_back(ReadService(element));
    CheckDuplicates(ticket.services.back(), seen, element);
  }
  index = 0;
  for (const auto& node : reader.List("removed", false)) {
    auto element = reader.Element(node, "removed", index++);
    const auto id = ServiceId(
        static_cast<std::uint32_t>(element.Number("id", {1, kMaxServiceId})));
    if (!seen.insert("id " + std::to_string(Raw(id))).second) {
      element.Fail(YamlError::kDuplicateKey, "id");
    }
    element.Finish();
    ticket.removed.push_back(id);
  }
  reader.Finish();
  return ticket;
}

void EmitService(YAML::Emitter& out, const Service& service) {
  out << YAML::BeginMap;
  out << YAML::Key << "id" << YAML::Value << Raw(service.id);
  out << YAML::Key << "name" << YAML::Value << service.name;
  out << YAML::Key << "address" << YAML::Value << ToString(service.address);
  out << YAML::Key << "protocol" << YAML::Value
      << (service.protocol == Protocol::kCoap ? "coap" : "datagram");
  out << YAML::Key << "prefer" << YAML::Value
      << (service.prefer == Preference::kBalance ? "balance" : "continuity");
  out << YAML::Key << "idle_timeout" << YAML::Value
      << yaml::FormatTime(service.idle_timeout);
  out << YAML::Key << "request_timeout" << YAML::Value
      << yaml::FormatTime(service.request_timeout);
  out << YAML::Key << "max_flows" << YAML::Value << service.max_flows;
  out << YAML::Key << "max_queue" << YAML::Value << service.max_queue;
  out << YAML::EndMap;
}

}  // namespace

std::optional<Ticket> ParseTicket(std::string_view text, std::string_view file,
                                  LastReason<TicketError>& reason) {
  LastReason<YamlError> fault;
  const auto node = yaml::ParseMap(text, file, fault);
  Ticket ticket;
  if (node) {
    yaml::MapReader reader(*node, file, "", fault);
    ticket = ReadTicket(reader);
  }
  if (fault.ok()) return ticket;
  reason.Set(FromYaml(fault.code()), fault.detail());
  return std::nullopt;
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
    out << YAML::BeginMap << YAML::Key << "id" << YAML::Value << Raw(id)
        << YAML::EndMap;
  }
  out << YAML::EndSeq << YAML::EndMap;
  return out.c_str();
}

}  // namespace cowslip::ticket
