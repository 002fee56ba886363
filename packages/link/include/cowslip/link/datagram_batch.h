#pragma once

#include <chrono>
#include <memory>

#include "cowslip/base.h"
#include "cowslip/link/datagram_socket.h"
#include "cowslip/link/frame_codec.h"

namespace cowslip::link {

/// A datagram in a ReceiveBatch; valid until its next Receive().
struct ReceivedDatagram {
  Endpoint from;
  ByteView payload;
  /// Time in the socket's receive queue; long if the process was paused.
  std::chrono::nanoseconds queue_delay{};
  bool truncated = false;  ///< Larger than the buffer.
};

/// Receives datagrams with one system call per batch (recvmmsg).
class ReceiveBatch {
 public:
  static constexpr std::size_t kCapacity = 64;  ///< Datagrams.

  ReceiveBatch();
  ~ReceiveBatch();
  ReceiveBatch(ReceiveBatch&&) noexcept;
  ReceiveBatch& operator=(ReceiveBatch&&) noexcept;

  /// Receives the waiting datagrams, at most kCapacity of them.
  /// @param refused set to whether the peer of a connected socket refused a
  ///     datagram that was sent to it.
  /// @return the number of datagrams, 0 if none is waiting.
  std::size_t Receive(const DatagramSocket& socket, bool& refused);
  /// @param index less than the last result of Receive().
  ReceivedDatagram At(std::size_t index) const;

 private:
  struct Storage;
  std::unique_ptr<Storage> storage_;
};

/// Collects datagrams for one socket and sends them with few system calls.
///
/// Payloads are not copied; they must stay valid until Flush().
class SendBatch {
 public:
  static constexpr std::size_t kCapacity = 64;  ///< Datagrams.

  SendBatch();
  ~SendBatch();
  SendBatch(SendBatch&&) noexcept;
  SendBatch& operator=(SendBatch&&) noexcept;

  /// Adds a plain datagram; flushes first if the batch is full.
  void Add(const DatagramSocket& socket, const Endpoint& to, ByteView payload);
  /// Adds an authenticated frame; flushes first if the batch is full.
  void AddFrame(const DatagramSocket& socket, const Endpoint& to,
                const FrameHeader& header, ByteView payload, FrameCodec& codec);
  /// Sends all datagrams in the batch.
  void Flush();
  /// @return the number of datagrams so far that the kernel didn't accept.
  std::uint64_t failed() const { return failed_; }

 private:
  struct Storage;
  /// Prepares the next slot; flushes first if the batch is full or for another
  /// socket. @return the index of the slot.
  std::size_t Reserve(const DatagramSocket& socket, const Endpoint& to);

  std::unique_ptr<Storage> storage_;
  std::size_t count_ = 0;
  int fd_ = -1;
  std::uint64_t failed_ = 0;
};

}  // namespace cowslip::link
