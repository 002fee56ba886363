#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "cowslip/coap.h"
#include "cowslip/engine.h"

namespace cowslip::testing {

/// What differs between two explorations.
struct PermitScenario {
  bool second_balancer_is_stale = false;  ///< It doesn't know upstream 1.
  bool second_sidecar_is_stale = false;   ///< It doesn't know upstream 1.
  bool first_table_is_full = false;       ///< Sidecar 1 grants no permits.
  bool second_table_is_full = false;
};

/// One step that departs from delivery in order without loss.
enum class Fault : std::uint8_t {
  kNone,
  kDropFirst,
  kDuplicateFirst,  ///< Not between a sidecar and its upstream.
  kDeliverSecond,
  kDeliverLast,
  kOtherBalancer,  ///< The first packet reaches the other balancer.
  kRetransmit,     ///< The caller's timer fires now.
  kCrashSidecar,   ///< Sidecar 1 restarts with the same id.
  kCrashUpstream,  ///< Upstream 1 dies and refuses datagrams.
  kExpire,         ///< Time passes until permits have expired.
  kUpdateViews,    ///< Everybody learns the incarnation of sidecar 1.
  kDrain,          ///< Sidecar 1 drains.
  kCount,
};

/// A confirmable POST of one caller through two balancers to two sidecars, on
/// the real engines, with a fault chosen at each step.
///
/// The caller behaves like libcoap 4.3.1: it repeats a challenged POST with the
/// Echo under a new message id and token, and ignores every further response to
/// a message that was answered.
class PermitWorld {
 public:
  explicit PermitWorld(const PermitScenario& scenario);

  /// @return false if nothing is left to happen.
  bool Step(Fault fault);

  int runs() const { return runs_; }
  /// @return the final response that the caller was told.
  std::optional<coap::Code> told() const { return told_; }

 private:
  enum class Where : std::uint8_t {
    kBalancer,
    kFrame,
    kUpstream,
    kSidecar,
    kCaller,
  };
  struct Packet {
    Where where{};
    std::size_t index = 0;  ///< Of the balancer, sidecar or upstream.
    Endpoint to{};
    Endpoint from{};
    link::FrameHeader header{};
    flow::FlowSlot slot{};
    Incarnation incarnation{};
    Bytes payload{};
  };
  struct Side {
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
  std::array<Side, 2> sides_;
  std::deque<Packet> packets_;
  coap::Message request_;
  bool repeated_ = false;
  int sends_left_ = 0;
  std::optional<coap::Code> told_;
  int runs_ = 0;
};

}  // namespace cowslip::testing
