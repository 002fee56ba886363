#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/coap.h"

namespace cowslip::engine {

/// An observation (RFC 7641): a caller's registration for the notifications of
/// a resource, which this sidecar relays.
struct Observation {
  coap::Message request;        ///< The registration, without a payload.
  std::uint32_t last_sent = 0;  ///< Highest Observe number sent to the caller.
  /// Offset from the upstream's Observe numbers to those sent to the caller.
  /// Absent after a handover to this sidecar, until the upstream has answered
  /// the registration.
  std::optional<std::uint32_t> observe_offset = 0;
  // Handover from this sidecar.
  std::uint64_t sequence =
      0;  ///< Of its kObservationHandover frames; 0 if none was sent.
  TimePoint next_handover{};    ///< When the next kObservationHandover is sent.
  std::uint32_t handovers = 0;  ///< Number of kObservationHandover frames sent.
  bool handed_over = false;     ///< The successor has acknowledged one.
  // Handover to this sidecar.
  Endpoint predecessor;  ///< The sidecar that handed the observation over.
  /// Of its kObservationHandover frame; 0 once that is acknowledged.
  std::uint64_t predecessor_sequence = 0;
};

/// The observations of one flow, and the confirmable messages of its upstream
/// that the caller has not acknowledged.
///
/// The message ids and Observe numbers sent to the caller are rewritten to
/// sequences that this class maintains. That allows another upstream to
/// continue the observations, and an unacknowledged notification to be
/// retransmitted under a new id: the client of libcoap does not acknowledge the
/// same id twice, so that a lost acknowledgement would stall the notifications.
class Feed {
 public:
  /// Message ids and Observe numbers that the successor skips, for the messages
  /// that its predecessor sends during the handover.
  static constexpr std::uint32_t kNumberGap = 1000;
  /// Observe numbers have 24 bits (RFC 7641 section 3.4).
  static constexpr std::uint32_t kObserveMask = 0xffffff;
  /// Delay of the first retransmission; doubled for each further one.
  static constexpr std::chrono::milliseconds kInitialRetransmitDelay{300};
  /// Upper limit of the delay of a retransmission.
  static constexpr std::chrono::milliseconds kMaxRetransmitDelay{1200};
  /// Retransmissions of one message.
  static constexpr std::size_t kMaxRetransmits = 10;
  /// Confirmable messages tracked at the same time; the oldest is evicted.
  static constexpr std::size_t kMaxUnacknowledged = 8;

  /// Whether a message of the upstream is sent to the caller.
  enum class Disposition : std::uint8_t {
    kSend,  ///< Send it; its message id and Observe number are rewritten.
    /// Drop it: it repeats an unacknowledged message, or is the failed answer
    /// to a registration that was handed over.
    kSuppress,
  };

  /// Rewrites the message id and Observe number of a message of the upstream.
  Disposition RewriteForCaller(coap::Message& message, TimePoint now);
  /// Rewrites the message id of a caller's acknowledgement or reset to that of
  /// the upstream, and stops retransmitting the message that it answers.
  Bytes RewriteForUpstream(ByteView answer);
  /// @return the messages to retransmit now, under new message ids.
  std::vector<coap::Message> TakeRetransmissions(TimePoint now);
  /// @return the time of the next retransmission, or TimePoint::max().
  TimePoint NextRetransmission() const;

  /// @return the observation with this token, or nullptr.
  Observation* Find(const Bytes& token);
  /// @return whether all observations have been handed over.
  bool IsHandedOver() const;
  /// Continues the message ids of the predecessor.
  void ContinueFrom(std::uint16_t last_sent_id) {
    last_id_ = static_cast<std::uint16_t>(last_sent_id + kNumberGap);
  }
  /// @return the last message id sent to the caller.
  std::uint16_t last_id() const { return last_id_.value_or(0); }

  std::vector<Observation> observations;

 private:
  struct Unacknowledged {
    std::uint16_t upstream_id = 0;
    std::vector<std::uint16_t> sent_ids;  ///< Sent, the first one first.
    coap::Message message;                ///< As sent to the caller.
    TimePoint retransmit_at{};
  };

  std::uint16_t NextId(std::uint16_t upstream_id);
  bool RewriteObserve(coap::Message& message);
  void TrackUnacknowledged(const coap::Message& message,
                           std::uint16_t upstream_id, TimePoint now);

  std::optional<std::uint16_t> last_id_;  ///< Sent to the caller.
  std::vector<Unacknowledged> pending_;
};

}  // namespace cowslip::engine
