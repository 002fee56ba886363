#include "relay_shell.h"

#include "cowslip/telemetry.h"

namespace cowslip::daemon {
namespace {

using relay::StreamId;

/// Streams that others open are numbered from here.
constexpr std::uint64_t kFirstIncoming = 1ULL << 62;
constexpr std::chrono::milliseconds kOpenLimit{2000};
constexpr std::size_t kMaxStreams = 512;

}  // namespace

std::unique_ptr<RelayShell> RelayShell::Create(
    const relay::NodeOptions& options, const link::FrameKey& key,
    LastReason<link::LinkError>& reason) {
  auto listener = link::StreamListener::Bind(options.self.control, reason);
  if (!listener) return nullptr;
  return std::unique_ptr<RelayShell>(new RelayShell(
      options, key, std::move(*listener), std::chrono::steady_clock::now()));
}

RelayShell::RelayShell(const relay::NodeOptions& options,
                       const link::FrameKey& key, link::StreamListener listener,
                       TimePoint now)
    : node_(options, now),
      key_(key),
      listener_(std::move(listener)),
      next_incoming_(kFirstIncoming) {}

void RelayShell::Poll(int mailbox, std::chrono::milliseconds timeout) {
  polled_.clear();
  polled_.push_back({mailbox, POLLIN, 0});
  polled_.push_back({listener_.fd(), POLLIN, 0});
  std::vector<StreamId> ids;
  for (const auto& [id, stream] : streams_) {
    const short events =
        stream.lines->wants_write() ? POLLIN | POLLOUT : POLLIN;
    polled_.push_back({stream.lines->fd(), events, 0});
    ids.push_back(id);
  }
  const std::size_t fixed = polled_.size() - ids.size();
  poll(polled_.data(), polled_.size(), static_cast<int>(timeout.count()));
  const auto now = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < ids.size(); ++i) {
    if (polled_[fixed + i].revents != 0) Read(ids[i], now);
  }
  if (polled_[1].revents != 0) Accept(now);
  ExpireOpening(now);
}

void RelayShell::Accept(TimePoint now) {
  while (auto fd = listener_.Accept()) {
    if (streams_.size() >= kMaxStreams) continue;
    const StreamId id{next_incoming_++};
    streams_[id] = Stream{link::LineStream::Accept(std::move(*fd), key_), false,
                          false, now};
  }
}

void RelayShell::Open(const relay::OpenStream& open, TimePoint now) {
  LastReason<link::LinkError> reason;
  auto lines = link::LineStream::Connect(open.control, key_, reason);
  if (lines == nullptr) {
    node_.OnStreamDown(open.stream, now, effects_);
    return;
  }
  streams_[open.stream] = Stream{std::move(lines), true, false, now};
}

void RelayShell::Read(StreamId id, TimePoint now) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) return;
  auto& stream = found->second;
  std::vector<std::string> lines;
  const bool alive = stream.lines->Read(lines);
  if (stream.lines->open() && !stream.announced) {
    stream.announced = true;
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
  if (alive) return;
  Close(id);
  node_.OnStreamDown(id, now, effects_);
}

void RelayShell::Close(StreamId id) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) return;
  closed_.in += found->second.lines->bytes().in;
  closed_.out += found->second.lines->bytes().out;
  streams_.erase(found);
}

void RelayShell::ExpireOpening(TimePoint now) {
  std::vector<StreamId> late;
  for (const auto& [id, stream] : streams_) {
    if (!stream.announced && now - stream.started > kOpenLimit) {
      late.push_back(id);
    }
  }
  for (const auto id : late) {
    Close(id);
    node_.OnStreamDown(id, now, effects_);
  }
}

void RelayShell::CarryOut() {
  const auto now = std::chrono::steady_clock::now();
  for (const auto& message : effects_.messages) {
    const auto found = streams_.find(message.stream);
    if (found == streams_.end()) continue;
    found->second.lines->Send(relay::EncodeMessage(message.message));
  }
  effects_.messages.clear();
  for (const auto& close : effects_.closes) Close(close.stream);
  effects_.closes.clear();
  const auto opens = std::exchange(effects_.opens, {});
  for (const auto& open : opens) Open(open, now);
  FlushAll(now);
}

void RelayShell::FlushAll(TimePoint now) {
  std::vector<StreamId> ended;
  for (auto& [id, stream] : streams_) {
    if (!stream.lines->Write()) ended.push_back(id);
  }
  for (const auto id : ended) {
    Close(id);
    node_.OnStreamDown(id, now, effects_);
  }
}

link::StreamBytes RelayShell::bytes() const {
  auto sum = closed_;
  for (const auto& [id, stream] : streams_) {
    sum.in += stream.lines->bytes().in;
    sum.out += stream.lines->bytes().out;
  }
  return sum;
}

}  // namespace cowslip::daemon
