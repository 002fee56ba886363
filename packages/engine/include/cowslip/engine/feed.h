#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/coap.h"

namespace cowslip::engine {

/// An observation (RFC 7641) that a caller holds through this sidecar.
struct Observation {
  coap::Message request;        ///< The registration, without a payload.
  std::uint32_t last_told = 0;  ///< Highest Observe number sent to the caller.
  /// Added to the upstream's numbers; absent until a registration that was
  /// taken over is answered.
  std::optional<std::uint32_t> shift = 0;
  // Handover by this sidecar.
  std::uint64_t sequence =
      0;  ///< Of its kObservationHandover frames; 0 if none was sent.
  TimePoint next_handover{};
  std::uint32_t handovers = 0;  ///< Frames sent.
  bool handed_over = false;
  // Handover to this sidecar.
  Endpoint predecessor;
  std::uint64_t predecessor_sequence = 0;
};

/// The observations of one flow, and the messages of its upstream that wait for
/// the caller's acknowledgement.
///
/// The caller sees message ids and Observe numbers of the feed's own. So
/// another upstream can continue it, and an unacknowledged notification is
/// repeated under a fresh id: libcoap's client does not acknowledge a repeated
/// id again, which would stall the feed when an acknowledgement is lost.
class Feed {
 public:
  /// Numbers left free for what a predecessor sends during the handover.
  static constexpr std::uint32_t kOverlap = 1000;
  static constexpr std::uint32_t kObserveMask = 0xffffff;
  static constexpr std::chrono::milliseconds kFirstRepeat{300};
  static constexpr std::chrono::milliseconds kLongestRepeat{1200};
  static constexpr std::size_t kMaxRepeats = 10;
  /// Confirmable messages that wait at the same time; the oldest gives way.
  static constexpr std::size_t kMaxWaiting = 8;

  /// What becomes of an upstream's message.
  enum class Outcome : std::uint8_t {
    kSend,    ///< Send it to the caller; its numbers are rewritten.
    kAbsorb,  ///< A repetition of one that waits, or not for the caller.
  };

  /// Rewrites the numbers of an upstream's message to those of the caller.
  Outcome ToCaller(coap::Message& message, TimePoint now);
  /// Rewrites the id of a caller's acknowledgement or reset, which ends the
  /// waiting of the message that it answers.
  Bytes ToUpstream(ByteView answer);
  /// @return messages to repeat now, under fresh ids.
  std::vector<coap::Message> TakeRepeats(TimePoint now);
  /// @return when TakeRepeats() has something, or TimePoint::max().
  TimePoint NextRepeat() const;

  Observation* Find(const Bytes& token);
  bool HandedOver() const;
  /// Continues the ids of a predecessor.
  void ContinueFrom(std::uint16_t last_told_id) {
    last_id_ = static_cast<std::uint16_t>(last_told_id + kOverlap);
  }
  /// @return the last message id told to the caller.
  std::uint16_t last_id() const { return last_id_.value_or(0); }

  std::vector<Observation> observations;

 private:
  struct Waiting {
    std::uint16_t upstream_id = 0;
    std::vector<std::uint16_t> told_ids;
    coap::Message message;  ///< As told to the caller.
    TimePoint repeat_at{};
  };

  std::uint16_t NextId(std::uint16_t upstream_id);
  bool ShiftObserve(coap::Message& message);
  void Wait(const coap::Message& message, std::uint16_t upstream_id,
            TimePoint now);

  std::optional<std::uint16_t> last_id_;  ///< Told to the caller.
  std::vector<Waiting> waiting_;
};

}  // namespace cowslip::engine
