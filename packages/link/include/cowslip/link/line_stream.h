#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/link/file_descriptor.h"
#include "cowslip/link/frame_codec.h"
#include "cowslip/link/link_error.h"

struct nghttp2_session;

namespace cowslip::link {

/// Numbers of bytes that a stream has received and sent, HTTP/2 framing
/// included.
struct StreamBytes {
  std::uint64_t in = 0;
  std::uint64_t out = 0;
};

/// Authenticated connection for lines of text in both directions, over one
/// HTTP/2 stream of a TCP connection of its own.
///
/// The client requests a nonce (GET /challenge) and then opens the stream (POST
/// /relay) with a proof of the frame key over that nonce and one of its own.
/// The server's response carries its own proof. The lines themselves are
/// neither encrypted nor authenticated. Not thread-safe; never blocks.
class LineStream {
 public:
  /// Largest line in bytes.
  static constexpr std::size_t kMaxLine = 4 << 20;
  /// Largest number of queued bytes; a slower receiver loses the stream.
  static constexpr std::size_t kMaxQueued = 64 << 20;

  /// Starts a client that connects to a peer.
  static std::unique_ptr<LineStream> Connect(const Endpoint& peer,
                                             const FrameKey& key,
                                             LastReason<LinkError>& reason);
  /// Starts the server on an accepted connection.
  static std::unique_ptr<LineStream> Accept(FileDescriptor fd,
                                            const FrameKey& key);
  ~LineStream();
  LineStream(const LineStream&) = delete;
  LineStream& operator=(const LineStream&) = delete;

  /// Reads from the socket and writes what that makes due.
  /// @param lines set to the complete lines received, without newlines.
  /// @return false once the stream has ended.
  bool Read(std::vector<std::string>& lines);
  /// Writes as much as the socket accepts.
  /// @return false once the stream has ended.
  bool Write();
  /// Queues a line. @param line ends in a newline.
  void Send(std::string_view line);

  int fd() const { return fd_.get(); }
  /// @return whether the other end has proved the key, and lines are exchanged.
  bool open() const { return open_; }
  /// @return whether Write() has something to send.
  bool wants_write() const;
  const StreamBytes& bytes() const { return bytes_; }

 private:
  class Callbacks;

  LineStream(FileDescriptor fd, const FrameKey& key, bool client);
  void Start();
  void SubmitChallengeRequest();
  void SubmitRelayRequest();
  void OnHeaders(std::int32_t stream);
  void OnClientHeaders(std::int32_t stream);
  void OnServerHeaders(std::int32_t stream);
  void AnswerChallenge(std::int32_t stream);
  void AnswerRelay(std::int32_t stream);
  void OnData(std::string_view chunk);
  /// Passes queued bytes to the HTTP/2 session.
  /// @return the bytes, valid until the next call; empty if none are queued.
  std::string_view TakeQueued(std::size_t limit);
  bool FillUnsent();

  FileDescriptor fd_;
  FrameKey key_;
  bool client_;
  bool open_ = false;
  bool ended_ = false;
  nghttp2_session* session_ = nullptr;
  std::int32_t relay_stream_ = 0;
  /// Of the current header block.
  std::map<std::string, std::string> headers_;
  std::string server_nonce_;
  std::string client_nonce_;
  std::string queued_;  ///< Lines to send.
  /// Bytes of queued_ that were passed to the session.
  std::size_t queued_taken_ = 0;
  std::string partial_line_;  ///< Start of an incomplete line.
  std::vector<std::string> lines_;
  std::string unsent_;  ///< Encoded bytes that the socket hasn't accepted.
  StreamBytes bytes_;
};

}  // namespace cowslip::link
