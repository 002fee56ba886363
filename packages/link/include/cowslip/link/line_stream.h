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

/// Bytes that a stream has carried, HTTP/2 framing included.
struct StreamBytes {
  std::uint64_t in = 0;
  std::uint64_t out = 0;
};

/// Lines of text both ways over one HTTP/2 stream of a TCP connection of its
/// own.
///
/// The client asks for a nonce (GET /challenge) and then opens the stream with
/// a proof of the frame key over that nonce and one of its own (POST /relay);
/// the server's answer proves the key in turn. Later bytes aren't protected.
/// For one thread; never blocks.
class LineStream {
 public:
  /// Largest line in bytes.
  static constexpr std::size_t kMaxLine = 4 << 20;
  /// Bytes that may wait for a slow receiver.
  static constexpr std::size_t kMaxQueued = 64 << 20;

  static std::unique_ptr<LineStream> Connect(const Endpoint& peer,
                                             const FrameKey& key,
                                             LastReason<LinkError>& reason);
  static std::unique_ptr<LineStream> Accept(FileDescriptor fd,
                                            const FrameKey& key);
  ~LineStream();
  LineStream(const LineStream&) = delete;
  LineStream& operator=(const LineStream&) = delete;

  /// Reads what has arrived. @param lines complete ones, without newlines.
  /// @return false once the stream has ended.
  bool Read(std::vector<std::string>& lines);
  /// Writes what the socket takes. @return false once the stream has ended.
  bool Write();
  /// Queues a line that ends in a newline.
  void Send(std::string_view line);

  int fd() const { return fd_.get(); }
  bool open() const { return open_; }
  bool wants_write() const;
  const StreamBytes& bytes() const { return bytes_; }

 private:
  class Callbacks;

  LineStream(FileDescriptor fd, const FrameKey& key, bool client);
  void Start();
  void SubmitChallenge();
  void SubmitRelay();
  void OnHeaders(std::int32_t stream);
  void OnClientHeaders(std::int32_t stream);
  void OnServerHeaders(std::int32_t stream);
  void AnswerChallenge(std::int32_t stream);
  void AnswerRelay(std::int32_t stream);
  void OnData(std::string_view chunk);
  /// @return queued bytes, valid until the next call; empty if none wait.
  std::string_view TakeQueued(std::size_t limit);
  bool Fill();

  FileDescriptor fd_;
  FrameKey key_;
  bool client_;
  bool open_ = false;
  bool ended_ = false;
  nghttp2_session* session_ = nullptr;
  std::int32_t relay_stream_ = 0;
  std::map<std::string, std::string> headers_;  ///< Of the block being read.
  std::string server_nonce_;
  std::string client_nonce_;
  std::string queued_;     ///< Lines for the session.
  std::size_t taken_ = 0;  ///< Bytes of them that the session has.
  std::string partial_;    ///< The start of a line.
  std::vector<std::string> lines_;
  std::string unsent_;  ///< Encoded bytes that the socket hasn't taken.
  StreamBytes bytes_;
};

}  // namespace cowslip::link
