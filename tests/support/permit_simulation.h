#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "cowslip/coap.h"
#include "cowslip/engine.h"

namespace cowslip::testing {

/// The initial state of a simulation.
struct PermitScenario {
  bool second_balancer_is_stale = false;  ///< Its view lacks upstream 1.
  bool second_sidecar_is_stale = false;   ///< Its view lacks upstream 1.
  bool first_table_is_full = false;       ///< Sidecar 1 issues no permits.
  bool second_table_is_full = false;      ///< Sidecar 2 issues no permits.
};

/// What happens at one step, other than the delivery of the first packet.
enum class Fault : std::uint8_t {
  kNone,
  kDropFirst,       ///< The first packet is lost.
  kDuplicateFirst,  ///< Not between a sidecar and its upstream.
  kDeliverSecond,   ///< The second packet overtakes the first.
  kDeliverLast,     ///< The last packet overtakes all others.
  kOtherBalancer,   ///< The first packet reaches the other balancer.
  kRetransmit,      ///< The caller retransmits its request.
  kCrashSidecar,    ///< Sidecar 1 restarts with the same id.
  kCrashUpstream,   ///< Upstream 1 fails; its port refuses datagrams.
  kExpire,          ///< Time passes until permits have expired.
  kUpdateViews,     ///< All views get the new incarnation of sidecar 1.
  kDrain,           ///< Sidecar 1 drains.
  kCount,
};

/// Simulates a confirmable POST of one caller, which is sent through two
/// balancers and two sidecars that use the real engines. The test chooses a
/// fault for each step.
///
/// The caller behaves like libcoap 4.3.1: it answers a challenge by a POST with
/// the Echo option and a new message id and token, and ignores every further
/// response to a message that was answered.
class PermitSimulation {
 public:
  explicit PermitSimulation(const PermitScenario& scenario);

  /// Applies the fault and delivers a packet.
  /// @return false if the fault is not possible now, or if no packet is left
  /// and
  ///     the caller has none to send.
  bool Step(Fault fault);

  /// @return the number of times that an upstream ran the request.
  int runs() const { return runs_; }
  /// @return the code of the final response that the caller received.
  std::optional<coap::Code> final_response() const { return final_code_; }

 private:
  enum class Destination : std::uint8_t {
    kBalancer,
    kFrame,
    kUpstream,
    kSidecar,
    kCaller,
  };
  struct Packet {
    Destination destination{};
    std::size_t index = 0;  ///< Of the balancer, sidecar or upstream.
    Endpoint to{};
    Endpoint from{};
    link::FrameHeader header{};
    flow::FlowSlot slot{};
    Incarnation incarnation{};
    Bytes payload{};
  };
  struct Node {
    std::optional<engine::Sidecar> sidecar;
    Incarnation incarnation{1};
    bool upstream_alive = true;
  };

  void StartSidecar(std::size_t index);
  void UpdateViews();
  membership::ViewPtr MakeView(bool with_first) const;
  void Send(std::size_t balancer);
  void Deliver(Packet packet);
  void DeliverFrame(const Packet& packet);
  void DeliverToUpstream(const Packet& packet);
  void DeliverToCaller(const Packet& packet);
  void Collect(std::size_t index, engine::SidecarEffects& effects);
  void Collect(std::size_t index, engine::BalancerEffects& effects);
  bool Apply(Fault fault);
  bool ApplyToFirst(Fault fault);

  PermitScenario scenario_;
  TimePoint now_;
  FlowKey flow_;
  std::vector<engine::Balancer> balancers_;
  std::array<Node, 2> nodes_;
  std::deque<Packet> packets_;
  coap::Message request_;
  bool challenged_ = false;
  int sends_left_ = 0;
  std::optional<coap::Code> final_code_;
  int runs_ = 0;
};

}  // namespace cowslip::testing
