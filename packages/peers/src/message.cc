#include "cowslip/peers/message.h"

#include <array>
#include <cstring>
#include <limits>
#include <utility>

#include "peers_generated.h"

namespace cowslip::peers {
namespace {

/// Eight bytes long, so that the message after it is aligned.
constexpr std::array<std::uint8_t, 8> kPrefix{'C', 'W', 'G', '1', 0, 0, 0, 0};
/// Longest valid name of a service or data centre, in bytes. Real ones are much
/// shorter.
constexpr std::size_t kMaxName = 200;

using NameList = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;

bool IsValidName(const flatbuffers::String* name) {
  return name == nullptr || name->size() <= kMaxName;
}

PeerEntry FromWire(const wire::Entry& raw) {
  PeerEntry entry;
  entry.address = raw.address();
  entry.balancer = raw.balancer();
  entry.incarnation = raw.incarnation();
  entry.sequence = raw.sequence();
  if (raw.service() != nullptr) entry.service = raw.service()->str();
  if (raw.data_center() != nullptr) {
    entry.data_center = raw.data_center()->str();
  }
  entry.frame_version = raw.frame_version();
  entry.accepts = raw.open();
  entry.left = raw.left();
  entry.no_upstream = raw.vacant();
  entry.port_tracks_upstream = raw.port_tracks_upstream();
  entry.upstream = raw.upstream();
  entry.lease = raw.lease();
  entry.lease_era = raw.lease_era();
  return entry;
}

std::uint32_t ToMilliseconds(std::chrono::milliseconds age) {
  if (age.count() < 0) return 0;
  if (age.count() > std::numeric_limits<std::uint32_t>::max()) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  return static_cast<std::uint32_t>(age.count());
}

/// @return false if the digests do not belong to the runs.
bool ReadRuns(const wire::Message& raw, std::vector<DigestRun>& runs) {
  const auto* digests = raw.digests();
  const auto count = digests == nullptr ? 0 : digests->size();
  if (count != raw.runs()->size() * DigestRun::kLength) return false;
  for (flatbuffers::uoffset_t i = 0; i < raw.runs()->size(); ++i) {
    DigestRun run;
    run.first = raw.runs()->Get(i);
    for (std::size_t j = 0; j < DigestRun::kLength; ++j) {
      run.digests[j] = digests->Get(
          static_cast<flatbuffers::uoffset_t>(i * DigestRun::kLength + j));
    }
    runs.push_back(run);
  }
  return true;
}

flatbuffers::Offset<wire::Evacuations> ToWire(
    const EvacuationReport& report, flatbuffers::FlatBufferBuilder& builder) {
  const auto add_names = [&](const DataCenterNames& names) {
    std::vector<flatbuffers::Offset<flatbuffers::String>> texts;
    if (report.names_omitted || names.empty()) {
      return flatbuffers::Offset<NameList>{};
    }
    for (const auto& name : names) texts.push_back(builder.CreateString(name));
    return builder.CreateVector(texts);
  };
  const auto state = report.state.value_or(EvacuationSnapshot{});
  const auto names = add_names(state.names);
  const auto held = add_names(report.held.names);
  return wire::CreateEvacuations(
      builder, report.state.has_value(), report.confirmed, state.position.era,
      state.position.revision, ToMilliseconds(report.age), names,
      ToMilliseconds(report.hold_left), report.query, report.answer,
      report.names_omitted, report.names_omitted ? report.digest : 0,
      report.held.position.era, report.held.position.revision, held);
}

/// @return false if there are too many names, or one is invalid.
bool ReadNames(const NameList* raw, DataCenterNames& names) {
  if (raw == nullptr) return true;
  if (raw->size() > EvacuationSnapshot::kMaxNames) return false;
  for (const auto* name : *raw) {
    if (!EvacuationSnapshot::IsValidName(name->string_view())) return false;
    names.insert(name->str());
  }
  return true;
}

std::optional<EvacuationReport> FromWire(const wire::Evacuations& raw) {
  EvacuationReport report;
  EvacuationSnapshot state;
  state.position = {raw.era(), raw.revision()};
  report.held.position = {raw.held_era(), raw.held_revision()};
  if (!ReadNames(raw.names(), state.names) ||
      !ReadNames(raw.held(), report.held.names)) {
    return std::nullopt;
  }
  if (raw.known()) report.state = std::move(state);
  report.names_omitted = raw.omitted();
  report.digest = raw.digest();
  report.hold_left = std::chrono::milliseconds(raw.hold_left_ms());
  report.age = std::chrono::milliseconds(raw.age_ms());
  report.confirmed = raw.confirmed();
  report.query = raw.query();
  report.answer = raw.answer();
  return report;
}

}  // namespace

bool IsMessage(ByteView datagram) {
  return datagram.size() > kPrefix.size() &&
         std::memcmp(datagram.data(), kPrefix.data(), kPrefix.size()) == 0;
}

Bytes Encode(const Message& message) {
  flatbuffers::FlatBufferBuilder builder(512);
  std::vector<flatbuffers::Offset<wire::Entry>> entries;
  for (const auto& entry : message.entries) {
    entries.push_back(wire::CreateEntryDirect(
        builder, entry.address, entry.balancer, entry.incarnation,
        entry.sequence, entry.service.c_str(), entry.accepts, entry.left,
        entry.upstream, entry.lease, entry.no_upstream, entry.lease_era,
        entry.data_center.empty() ? nullptr : entry.data_center.c_str(),
        entry.frame_version, entry.port_tracks_upstream));
  }
  std::vector<std::uint16_t> runs;
  std::vector<std::uint32_t> digests;
  for (const auto& run : message.ranges) {
    runs.push_back(run.first);
    digests.insert(digests.end(), run.digests.begin(), run.digests.end());
  }
  const auto evacuations = message.evacuations
                               ? ToWire(*message.evacuations, builder)
                               : flatbuffers::Offset<wire::Evacuations>{};
  builder.Finish(wire::CreateMessageDirect(
      builder, message.sender, message.balancer, message.config.number,
      message.verified_config, ToMilliseconds(message.verified_age),
      message.watching, message.want_all, message.digest, &entries,
      message.complete, message.keep_document, message.compares_ranges,
      runs.empty() ? nullptr : &runs, digests.empty() ? nullptr : &digests,
      message.wanted.empty() ? nullptr : &message.wanted, message.store_era,
      message.config.era, message.config.digest, evacuations,
      static_cast<std::uint8_t>(message.cause),
      message.told.empty() ? nullptr : &message.told, message.want_differing));
  Bytes datagram(kPrefix.size() + builder.GetSize());
  std::memcpy(datagram.data(), kPrefix.data(), kPrefix.size());
  std::memcpy(datagram.data() + kPrefix.size(), builder.GetBufferPointer(),
              builder.GetSize());
  return datagram;
}

std::optional<Message> Decode(ByteView datagram) {
  if (!IsMessage(datagram)) return std::nullopt;
  // The verifier needs the alignment that the builder gives a message.
  const auto body = datagram.subspan(kPrefix.size());
  std::vector<std::uint64_t> aligned((body.size() + 7) / 8);
  std::memcpy(aligned.data(), body.data(), body.size());
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aligned.data());
  flatbuffers::Verifier verifier(bytes, body.size());
  if (!wire::VerifyMessageBuffer(verifier)) return std::nullopt;
  const auto* raw = wire::GetMessage(bytes);
  Message message;
  message.sender = raw->sender();
  message.balancer = raw->balancer();
  message.config = {raw->config(), raw->config_era(), raw->config_digest()};
  message.verified_config = raw->verified_config();
  message.verified_age = std::chrono::milliseconds(raw->verified_age_ms());
  message.watching = raw->watching();
  message.store_era = raw->store_era();
  message.want_all = raw->want_all();
  message.digest = raw->digest();
  message.complete = raw->complete();
  message.keep_document = raw->keep_document();
  message.compares_ranges = raw->compares_ranges();
  if (raw->runs() != nullptr && !ReadRuns(*raw, message.ranges)) {
    return std::nullopt;
  }
  if (raw->wanted() != nullptr) {
    message.wanted.assign(raw->wanted()->begin(), raw->wanted()->end());
  }
  message.cause = ToMessageCause(raw->cause());
  message.want_differing = raw->want_differing();
  if (raw->told() != nullptr) {
    if (raw->told()->size() > kMaxTold) return std::nullopt;
    message.told.assign(raw->told()->begin(), raw->told()->end());
  }
  if (raw->entries() != nullptr) {
    for (const auto* entry : *raw->entries()) {
      if (!IsValidName(entry->service()) ||
          !IsValidName(entry->data_center())) {
        return std::nullopt;
      }
      message.entries.push_back(FromWire(*entry));
    }
  }
  if (raw->evacuations() != nullptr) {
    message.evacuations = FromWire(*raw->evacuations());
    if (!message.evacuations) return std::nullopt;
  }
  return message;
}

}  // namespace cowslip::peers
