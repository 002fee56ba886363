#include "server.hpp"

#include <stdexcept>

#include "platform/http_client.h"
#include "platform/packet_header.h"
#include "platform/process_clock.h"
#include "platform/standins/packet_writer.h"

namespace review {

namespace pa = cowslip::platform_adapter;
using cowslip::segment::Segment;
using cowslip::segment::test::FakeUpstream;

Server::Server(event_base* base, pa::standins::TimerQueue& timers, Options options,
               Events events)
    : base_(base),
      timers_(&timers),
      options_(std::move(options)),
      events_(std::move(events)),
      beat_timer_(base, [this] { Beat(); }) {
  const auto send = [this](const Segment& segment) {
    if (segment.rst && events_.on_own_reset) events_.on_own_reset(*this, segment.flow);
    if (socket_) {
      socket_->Send(options_.outbound,
                    pa::standins::WritePacket(segment, pa::PacketSender::kUpstream));
    }
  };
  const auto give_back = [this](const Segment& segment, std::uint32_t token) {
    if (socket_) {
      socket_->Send(options_.outbound, pa::standins::WriteReturned(segment, token));
    }
  };
  const auto after = [this](milliseconds delay, std::function<void()> run) {
    timers_->After(delay, std::move(run));
  };
  const auto runs = [this](const FlowKey& flow, std::uint32_t end) {
    if (events_.on_run) events_.on_run(*this, flow, end);
  };
  FakeUpstream::Options transport;
  transport.slots = options_.slots;
  transport.queue = options_.queue;
  transport.service_time = options_.work;
  transport.first_seq = options_.first_seq;
  upstream_ = std::make_unique<FakeUpstream>(
      transport, FakeUpstream::Output{send, give_back, after, runs});
  upstream_->Crash();
}

void Server::Start() {
  cowslip::LastReason<pa::AdapterError> reason;
  socket_ = pa::UdpSocket::Bind(options_.app, reason);
  if (!socket_) throw std::runtime_error(reason.Message());
  readable_ = std::make_unique<pa::EventSource>(base_, socket_->fd(), EV_READ | EV_PERSIST,
                                                [this] { OnPackets(); });
  readable_->Enable();
  upstream_->Restart();
  born_ = pa::NewIncarnation();
  id_ = "i-" + std::to_string(options_.app.address & 0xFFFF) + "-" + std::to_string(born_ % 1000000);
  seq_ = 0;
  draining_ = false;
  drain_acknowledged_.reset();
  Beat();
}

void Server::Crash() {
  upstream_->Crash();
  readable_.reset();
  socket_.reset();
}

void Server::Drain() {
  draining_ = true;
  Beat();
}

void Server::Deregister() {
  Post("deregister");
  Crash();
}

void Server::OnPackets() {
  socket_->Drain([&](const Endpoint&, std::span<std::uint8_t> packet) {
    const auto header = pa::DecodePacketHeader(packet, pa::PacketSender::kCaller);
    if (header) upstream_->OnPacket(header->segment, header->token);
  });
}

void Server::Beat() {
  if (!alive()) return;
  beat_timer_.Schedule(options_.heartbeat);
  Post("heartbeat");
}

void Server::Post(const std::string& what) {
  pa::HttpCall call;
  call.server = options_.control;
  call.method = pa::HttpMethod::kPost;
  call.target = "/cowslippitch/instances/" + id_ + "/" + what;
  call.body = R"({"service":")" + options_.service + R"(","address":")" +
              cowslip::ToString(options_.app) + R"(","zone":")" + options_.zone +
              R"(","version":"v1","capacity":)" + std::to_string(options_.slots) +
              R"(,"state":")" + (draining_ ? "draining" : "ready") +
              R"(","warmupLeftMs":0,"seq":)" + std::to_string(++seq_) + R"(,"born":)" +
              std::to_string(born_) + "}";
  call.timeout = milliseconds(1000);
  const bool drains = draining_;
  pa::StartHttpCall(base_, call, [this, drains, id = id_](const pa::HttpResponse& response) {
    if (response.status / 100 != 2 || id != id_) return;
    ++acknowledged_;
    if (drains && !drain_acknowledged_) drain_acknowledged_ = pa::Now();
  });
}

}  // namespace review
