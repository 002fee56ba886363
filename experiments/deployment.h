#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::experiments {

/// Mean service time of a request on a slot of speed 1.
inline constexpr std::chrono::milliseconds kMeanService{100};

/// The upstreams of one service. Their speeds differ by a factor of up to 4.
struct Deployment {
  std::string name;
  std::uint32_t slots = 1;     ///< Per upstream.
  std::vector<double> speeds;  ///< Of each upstream.

  /// @return requests per second that all upstreams together can serve.
  double Capacity() const {
    double sum = 0;
    for (const auto speed : speeds) sum += speed * slots;
    return sum / std::chrono::duration<double>(kMeanService).count();
  }
};

/// @return the services of the experiments.
inline std::vector<Deployment> Deployments() {
  return {{"custody", 7, {1, 4, 2, 1, 4, 2, 1}},
          {"dossier", 7, {1, 4, 2, 1}},
          {"vault", 2, {1, 4, 2, 1, 4, 2, 1}},
          {"archive", 2, {1, 4, 2}}};
}

}  // namespace cowslip::experiments
