#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "review/standin/server.hpp"

namespace review {

/// One flow of a client, as the users' pages describe it.
class ClientFlow {
 public:
  enum class State { kOpening, kOpen, kReset, kFailed };
  struct Output {
    std::function<void(const Packet&)> send;
    std::function<void(milliseconds, std::function<void()>)> after;
  };

  ClientFlow(const FlowEnds& ends, Output output, Record& record,
             std::uint32_t first_seq);

  /// Sends the SYN and its copies; the first request follows the answer.
  void Open();
  /// Sends the next request.
  void Ask();
  void OnPacket(const Packet& packet);

  const FlowEnds& ends() const { return ends_; }
  State state() const { return state_; }
  /// @return whether a request waits for its answer.
  bool waiting() const { return waiting_; }
  int answered() const { return answered_; }
  int unanswered() const { return unanswered_; }
  /// @return whether a reset came while the flow was open, as a client takes
  /// it for valid.
  bool was_reset_open() const { return was_reset_open_; }
  int foreign_answers() const { return foreign_answers_; }

 private:
  void SendSyn(std::uint32_t copy);
  void SendRequest(int request, milliseconds delay);
  void OnReset(const Packet& packet);
  Packet MakePacket(std::uint8_t flags) const;

  FlowEnds ends_;
  Output output_;
  Record* record_;
  State state_ = State::kOpening;
  std::uint32_t next_seq_;
  std::uint32_t acknowledged_ = 0;
  std::string request_;
  int requests_ = 0;
  bool waiting_ = false;
  int answered_ = 0;
  int unanswered_ = 0;
  int foreign_answers_ = 0;
  bool was_reset_open_ = false;
};

}  // namespace review
