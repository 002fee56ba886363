#include "cowslip/segment/owner_query.h"

#include <algorithm>

#include "frame_generated.h"
#include "wire_codec.h"

namespace cowslip::segment {
namespace {

/// Service addresses of a query, each listed once.
class AddressList {
 public:
  /// @return the index of an address, which is added if it is new.
  std::uint8_t IndexOf(const Endpoint& address) {
    const auto* const end = addresses_.begin() + count_;
    const auto* const found = std::find(addresses_.cbegin(), end, address);
    if (found == end) addresses_[count_++] = address;
    return static_cast<std::uint8_t>(found - addresses_.begin());
  }
  std::span<const Endpoint> addresses() const {
    return std::span(addresses_).first(count_);
  }

 private:
  std::array<Endpoint, kMaxQueriedFlows> addresses_{};
  std::uint8_t count_ = 0;
};

}  // namespace

std::optional<OwnerQuery> DecodeOwnerQuery(ByteView datagram) {
  const auto raw = ReadRaw<wire::OwnerQuery>(datagram);
  if (!raw || KindOf(datagram) != FrameKind::kOwnerQuery ||
      raw->flow_count() == 0 || raw->flow_count() > kMaxQueriedFlows ||
      raw->address_count() == 0 || raw->address_count() > kMaxQueriedFlows) {
    return std::nullopt;
  }
  auto rest = datagram.subspan(sizeof(wire::OwnerQuery));
  std::array<Endpoint, kMaxQueriedFlows> addresses;
  for (std::size_t i = 0; i < raw->address_count(); ++i) {
    const auto address = ReadRaw<wire::QueriedAddress>(rest);
    if (!address) return std::nullopt;
    addresses[i] = {address->address(), address->port()};
    rest = rest.subspan(sizeof(wire::QueriedAddress));
  }
  std::optional<OwnerQuery> query(std::in_place);
  query->number = raw->number();
  query->config = raw->config();
  for (std::size_t i = 0; i < raw->flow_count(); ++i) {
    const auto flow = ReadRaw<wire::QueriedFlow>(rest);
    if (!flow || flow->address_index() >= raw->address_count()) {
      return std::nullopt;
    }
    query->Add({{{flow->caller_address(), flow->caller_port()},
                 addresses[flow->address_index()]},
                flow->caller_ack(),
                flow->routed() != 0});
    rest = rest.subspan(sizeof(wire::QueriedFlow));
  }
  return query;
}

void AppendOwnerQuery(const OwnerQuery& query, Bytes& out) {
  AddressList list;
  std::array<std::uint8_t, kMaxQueriedFlows> indices{};
  const auto flows = query.queried();
  for (std::size_t i = 0; i < flows.size(); ++i) {
    indices[i] = list.IndexOf(flows[i].flow.service);
  }
  const auto addresses = list.addresses();
  AppendRaw(wire::OwnerQuery(
                kMagic, static_cast<std::uint8_t>(FrameKind::kOwnerQuery),
                query.flow_count, static_cast<std::uint8_t>(addresses.size()),
                0, query.number, query.config),
            out);
  for (const auto& address : addresses) {
    AppendRaw(wire::QueriedAddress(address.address, address.port, 0), out);
  }
  for (std::size_t i = 0; i < flows.size(); ++i) {
    const auto& caller = flows[i].flow.caller;
    AppendRaw(
        wire::QueriedFlow(caller.address, flows[i].caller_ack, caller.port,
                          indices[i], flows[i].routed ? 1 : 0),
        out);
  }
}

std::optional<OwnerReply> DecodeOwnerReply(ByteView datagram) {
  const auto raw = ReadRaw<wire::OwnerReply>(datagram);
  if (!raw || KindOf(datagram) != FrameKind::kOwnerReply ||
      raw->flow_count() == 0 || raw->flow_count() > kMaxQueriedFlows ||
      (raw->owned() & raw->not_owned()) != 0) {
    return std::nullopt;
  }
  OwnerReply reply;
  reply.number = raw->number();
  reply.flow_count = raw->flow_count();
  reply.owned = raw->owned();
  reply.not_owned = raw->not_owned();
  reply.state.open = raw->open() != 0;
  reply.state.config = raw->config();
  reply.state.expected_wait_us = raw->expected_wait();
  reply.state.free_slots = raw->free_slots();
  return reply;
}

void AppendOwnerReply(const OwnerReply& reply, Bytes& out) {
  AppendRaw(wire::OwnerReply(
                kMagic, static_cast<std::uint8_t>(FrameKind::kOwnerReply),
                reply.flow_count, reply.state.open ? 1 : 0, 0, reply.number,
                reply.state.config, reply.owned, reply.not_owned,
                reply.state.expected_wait_us, reply.state.free_slots, 0),
            out);
}

}  // namespace cowslip::segment
