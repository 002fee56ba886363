#include "cowslip/link/line_stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "cowslip/link/socket_address.h"
#include "cowslip/link/stream_auth.h"
#include "line_stream_callbacks.h"

namespace cowslip::link {
namespace {

constexpr std::size_t kReadBytes = 64 << 10;
constexpr std::uint32_t kWindowBytes = 1 << 20;

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool IsTemporary(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

}  // namespace

std::unique_ptr<LineStream> LineStream::Connect(const Endpoint& peer,
                                                const FrameKey& key,
                                                LastReason<LinkError>& reason) {
  FileDescriptor fd(
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const auto address = ToSocketAddress(peer);
  const auto* raw = reinterpret_cast<const sockaddr*>(&address);
  const bool started =
      fd.valid() &&
      (connect(fd.get(), raw, sizeof address) == 0 || errno == EINPROGRESS);
  if (!started) {
    reason.Set(LinkError::kSocketFailed,
               ToString(peer) + ": " + std::strerror(errno));
    return nullptr;
  }
  return std::unique_ptr<LineStream>(new LineStream(std::move(fd), key, true));
}

std::unique_ptr<LineStream> LineStream::Accept(FileDescriptor fd,
                                               const FrameKey& key) {
  return std::unique_ptr<LineStream>(new LineStream(std::move(fd), key, false));
}

LineStream::LineStream(FileDescriptor fd, const FrameKey& key, bool client)
    : fd_(std::move(fd)), key_(key), client_(client) {
  SetNoDelay(fd_.get());
  Start();
}

LineStream::~LineStream() { nghttp2_session_del(session_); }

void LineStream::Start() {
  session_ = Callbacks::MakeSession(*this, client_);
  const std::array<nghttp2_settings_entry, 1> settings{
      {{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindowBytes}}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kWindowBytes);
  if (client_) SubmitChallengeRequest();
}

void LineStream::SubmitChallengeRequest() {
  Callbacks::SubmitRequest(*this, {{":method", "GET"}, {":path", "/challenge"}},
                           false);
}

void LineStream::SubmitRelayRequest() {
  client_nonce_ = MakeNonce();
  relay_stream_ = Callbacks::SubmitRequest(
      *this,
      {{":method", "POST"},
       {":path", "/relay"},
       {"cowslip-nonce", client_nonce_},
       {"cowslip-proof", ComputeKeyProof(key_, StreamRole::kClient,
                                         server_nonce_, client_nonce_)}},
      true);
}

void LineStream::OnHeaders(std::int32_t stream) {
  if (client_) {
    OnClientHeaders(stream);
  } else {
    OnServerHeaders(stream);
  }
  headers_.clear();
}

void LineStream::OnClientHeaders(std::int32_t stream) {
  if (stream != relay_stream_) {
    server_nonce_ = headers_["cowslip-nonce"];
    if (server_nonce_.empty()) {
      ended_ = true;
    } else {
      SubmitRelayRequest();
    }
    return;
  }
  const auto expected =
      ComputeKeyProof(key_, StreamRole::kServer, server_nonce_, client_nonce_);
  open_ = ProofsEqual(headers_["cowslip-proof"], expected);
  ended_ = !open_;
}

void LineStream::OnServerHeaders(std::int32_t stream) {
  const auto& path = headers_[":path"];
  if (path == "/challenge" && server_nonce_.empty()) {
    AnswerChallenge(stream);
  } else if (path == "/relay" && !open_) {
    AnswerRelay(stream);
  } else {
    ended_ = true;
  }
}

void LineStream::AnswerChallenge(std::int32_t stream) {
  server_nonce_ = MakeNonce();
  Callbacks::SubmitResponse(
      *this, stream, {{":status", "204"}, {"cowslip-nonce", server_nonce_}},
      false);
}

void LineStream::AnswerRelay(std::int32_t stream) {
  const auto& nonce = headers_["cowslip-nonce"];
  const auto expected =
      ComputeKeyProof(key_, StreamRole::kClient, server_nonce_, nonce);
  const bool authenticated = !server_nonce_.empty() &&
                             ProofsEqual(headers_["cowslip-proof"], expected);
  if (!authenticated) {
    ended_ = true;
    return;
  }
  relay_stream_ = stream;
  open_ = true;
  const auto proof =
      ComputeKeyProof(key_, StreamRole::kServer, server_nonce_, nonce);
  Callbacks::SubmitResponse(
      *this, stream, {{":status", "200"}, {"cowslip-proof", proof}}, true);
}

void LineStream::OnData(std::string_view chunk) {
  if (!open_) return;
  while (!chunk.empty()) {
    const auto end = chunk.find('\n');
    partial_line_.append(chunk.substr(0, end));
    if (partial_line_.size() > kMaxLine) ended_ = true;
    if (end == std::string_view::npos) return;
    lines_.push_back(std::move(partial_line_));
    partial_line_.clear();
    chunk.remove_prefix(end + 1);
  }
}

bool LineStream::Read(std::vector<std::string>& lines) {
  std::array<std::uint8_t, kReadBytes> buffer;
  while (!ended_) {
    const auto size = recv(fd(), buffer.data(), buffer.size(), 0);
    if (size < 0 && IsTemporary(errno)) break;
    if (size <= 0) ended_ = true;
    if (ended_) break;
    bytes_.in += static_cast<std::uint64_t>(size);
    const auto consumed = nghttp2_session_mem_recv(
        session_, buffer.data(), static_cast<std::size_t>(size));
    if (consumed < 0) ended_ = true;
  }
  lines = std::move(lines_);
  lines_.clear();
  return Write();
}

std::string_view LineStream::TakeQueued(std::size_t limit) {
  if (queued_taken_ == queued_.size()) {
    queued_.clear();
    queued_taken_ = 0;
  }
  const auto chunk = std::string_view(queued_).substr(queued_taken_, limit);
  queued_taken_ += chunk.size();
  return chunk;
}

void LineStream::Send(std::string_view line) {
  queued_.append(line);
  if (queued_.size() - queued_taken_ > kMaxQueued) ended_ = true;
  if (relay_stream_ != 0) nghttp2_session_resume_data(session_, relay_stream_);
}

/// Moves encoded bytes from the session to unsent_.
/// @return whether there are unsent bytes.
bool LineStream::FillUnsent() {
  while (unsent_.size() < kReadBytes) {
    const std::uint8_t* data = nullptr;
    const auto size = nghttp2_session_mem_send(session_, &data);
    if (size < 0) ended_ = true;
    if (size <= 0) break;
    unsent_.append(reinterpret_cast<const char*>(data),
                   static_cast<std::size_t>(size));
  }
  return !unsent_.empty();
}

bool LineStream::Write() {
  while (!ended_ && FillUnsent()) {
    const auto size = send(fd(), unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
    if (size < 0 && (IsTemporary(errno) || errno == ENOTCONN)) break;
    if (size < 0) ended_ = true;
    if (ended_) break;
    bytes_.out += static_cast<std::uint64_t>(size);
    unsent_.erase(0, static_cast<std::size_t>(size));
  }
  return !ended_;
}

bool LineStream::wants_write() const {
  return !unsent_.empty() || nghttp2_session_want_write(session_) != 0;
}

}  // namespace cowslip::link
