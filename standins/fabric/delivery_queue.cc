#include "standins/fabric/delivery_queue.h"

#include <tuple>

namespace cowslip::standin {

bool DeliveryQueue::IsLater::operator()(const Delivery& left,
                                        const Delivery& right) const {
  return std::tie(left.due, left.sequence) >
         std::tie(right.due, right.sequence);
}

void DeliveryQueue::Add(TimePoint due, std::shared_ptr<const UdpSocket> socket,
                        const Endpoint& destination,
                        std::vector<std::byte> payload) {
  heap_.push({due, next_sequence_++, std::move(socket), destination,
              std::move(payload)});
}

std::optional<Delivery> DeliveryQueue::PopDue(TimePoint now) {
  if (heap_.empty() || heap_.top().due > now) return std::nullopt;
  Delivery delivery = heap_.top();
  heap_.pop();
  return delivery;
}

std::optional<TimePoint> DeliveryQueue::NextDue() const {
  if (heap_.empty()) return std::nullopt;
  return heap_.top().due;
}

}  // namespace cowslip::standin
