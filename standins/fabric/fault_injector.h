#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "cowslip/base/clock.h"
#include "standins/fabric/fault_settings.h"

namespace cowslip::standin {

/// How many times one datagram is delivered, and with which delays.
struct DeliveryPlan {
  /// Delay of the delivery, std::nullopt if the datagram is lost.
  std::optional<Duration> first;
  /// Delay of the second delivery of a duplicated datagram.
  std::optional<Duration> second;
};

/// Draws loss, duplication and delay of each datagram from a seeded generator.
class FaultInjector {
 public:
  explicit FaultInjector(std::uint64_t seed) : random_(seed) {}

  DeliveryPlan Plan(const FaultSettings& settings);

 private:
  bool DrawEvent(double probability);
  Duration Delay(const FaultSettings& settings);

  std::mt19937_64 random_;
};

}  // namespace cowslip::standin
