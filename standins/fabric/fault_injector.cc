#include "standins/fabric/fault_injector.h"

namespace cowslip::standin {

bool FaultInjector::DrawEvent(double probability) {
  if (probability <= 0.0) return false;
  return std::uniform_real_distribution<double>(0.0, 1.0)(random_) <
         probability;
}

Duration FaultInjector::Delay(const FaultSettings& settings) {
  Duration delay = settings.delay;
  const Duration reorder = settings.reorder;
  if (reorder <= Duration::zero()) return delay;
  const bool is_reordered =
      settings.reorder_share >= 1.0 || DrawEvent(settings.reorder_share);
  if (!is_reordered) return delay;
  return delay + Duration(std::uniform_int_distribution<Duration::rep>(
                     0, reorder.count())(random_));
}

DeliveryPlan FaultInjector::Plan(const FaultSettings& settings) {
  DeliveryPlan plan;
  if (DrawEvent(settings.loss)) return plan;
  plan.first = Delay(settings);
  if (DrawEvent(settings.duplicate)) plan.second = Delay(settings);
  return plan;
}

}  // namespace cowslip::standin
