#include "relay_transport.h"

#include "cowslip/telemetry.h"

namespace cowslip::daemon {
namespace {

using relay::StreamId;

/// Ids of accepted streams start here; the node numbers the streams that it
/// opens from below.
constexpr std::uint64_t kFirstIncoming = 1ULL << 62;
/// Streams that aren't open after this time are closed.
constexpr std::chrono::milliseconds kOpenTimeout{2000};
constexpr std::size_t kMaxStreams = 512;

}  // namespace

std::unique_ptr<RelayTransport> RelayTransport::Create(
    const relay::NodeOptions& options, const link::FrameKey& key,
    LastReason<link::LinkError>& reason) {
  auto listener = link::StreamListener::Bind(options.self.control, reason);
  if (!listener) return nullptr;
  return std::unique_ptr<RelayTransport>(new RelayTransport(
      options, key, std::move(*listener), std::chrono::steady_clock::now()));
}

RelayTransport::RelayTransport(const relay::NodeOptions& options,
                               const link::FrameKey& key,
                               link::StreamListener listener, TimePoint now)
    : node_(options, now),
      key_(key),
      listener_(std::move(listener)),
      next_incoming_(kFirstIncoming) {}

void RelayTransport::Poll(int event_fd, std::chrono::milliseconds timeout) {
  polled_.clear();
  polled_.push_back({event_fd, POLLIN, 0});
  polled_.push_back({listener_.fd(), POLLIN, 0});
  std::vector<StreamId> ids;
  for (const auto& [id, stream] : streams_) {
    const short events =
        stream.connection->wants_write() ? POLLIN | POLLOUT : POLLIN;
    polled_.push_back({stream.connection->fd(), events, 0});
    ids.push_back(id);
  }
  const std::size_t first_stream = polled_.size() - ids.size();
  poll(polled_.data(), polled_.size(), static_cast<int>(timeout.count()));
  const auto now = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < ids.size(); ++i) {
    if (polled_[first_stream + i].revents != 0) Read(ids[i], now);
  }
  if (polled_[1].revents != 0) Accept(now);
  CloseTimedOutOpens(now);
}

void RelayTransport::Accept(TimePoint now) {
  while (auto fd = listener_.Accept()) {
    if (streams_.size() >= kMaxStreams) continue;
    const StreamId id{next_incoming_++};
    streams_[id] = Stream{link::LineStream::Accept(std::move(*fd), key_), false,
                          false, now};
  }
}

void RelayTransport::Open(const relay::OpenStream& open, TimePoint now) {
  LastReason<link::LinkError> reason;
  auto line_stream = link::LineStream::Connect(open.control, key_, reason);
  if (line_stream == nullptr) {
    node_.OnStreamDown(open.stream, now, effects_);
    return;
  }
  streams_[open.stream] = Stream{std::move(line_stream), true, false, now};
}

void RelayTransport::Read(StreamId id, TimePoint now) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) return;
  auto& stream = found->second;
  std::vector<std::string> lines;
  const bool is_alive = stream.connection->Read(lines);
  if (stream.connection->open() && !stream.reported_up) {
    stream.reported_up = true;
    node_.OnStreamUp(id, stream.outgoing, now, effects_);
  }
  for (const auto& line : lines) {
    LastReason<relay::RelayError> reason;
    const auto message = relay::DecodeMessage(line, reason);
    if (message) {
      node_.OnMessage(id, *message, now, effects_);
    } else {
      telemetry::Log(telemetry::LogLevel::kWarn, "relay_message_refused",
                     {{"reason", reason.Message()}});
    }
  }
  if (is_alive) return;
  Close(id);
  node_.OnStreamDown(id, now, effects_);
}

void RelayTransport::Close(StreamId id) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) return;
  closed_bytes_.in += found->second.connection->bytes().in;
  closed_bytes_.out += found->second.connection->bytes().out;
  streams_.erase(found);
}

void RelayTransport::CloseTimedOutOpens(TimePoint now) {
  std::vector<StreamId> timed_out;
  for (const auto& [id, stream] : streams_) {
    if (!stream.reported_up && now - stream.started > kOpenTimeout) {
      timed_out.push_back(id);
    }
  }
  for (const auto id : timed_out) {
    Close(id);
    node_.OnStreamDown(id, now, effects_);
  }
}

void RelayTransport::ApplyEffects() {
  const auto now = std::chrono::steady_clock::now();
  for (const auto& message : effects_.messages) {
    const auto found = streams_.find(message.stream);
    if (found == streams_.end()) continue;
    found->second.connection->Send(relay::EncodeMessage(message.message));
  }
  effects_.messages.clear();
  for (const auto& close : effects_.closes) Close(close.stream);
  effects_.closes.clear();
  const auto opens = std::exchange(effects_.opens, {});
  for (const auto& open : opens) Open(open, now);
  FlushAll(now);
}

void RelayTransport::FlushAll(TimePoint now) {
  std::vector<StreamId> failed;
  for (auto& [id, stream] : streams_) {
    if (!stream.connection->Write()) failed.push_back(id);
  }
  for (const auto id : failed) {
    Close(id);
    node_.OnStreamDown(id, now, effects_);
  }
}

link::StreamBytes RelayTransport::bytes() const {
  auto sum = closed_bytes_;
  for (const auto& [id, stream] : streams_) {
    sum.in += stream.connection->bytes().in;
    sum.out += stream.connection->bytes().out;
  }
  return sum;
}

}  // namespace cowslip::daemon
