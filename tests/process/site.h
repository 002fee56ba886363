#pragma once

#include <string>

#include "standins/common/unique_fd.h"

namespace cowslip::testing {

/// Loopback addresses of one deployment: the third octet is the site's number,
/// so that deployments of different sites run side by side.
class Site {
 public:
  /// Reserves the first free site until the object is destroyed; throws
  /// std::runtime_error if there is none.
  static Site Claim();

  std::string Store() const { return Address(40, 1) + ":8500"; }
  std::string FabricControl() const { return Address(40, 2) + ":8600"; }
  std::string Vip(int number) const { return Address(53, number) + ":5683"; }
  std::string BalancerFrames(int id) const { return Address(20, id) + ":7000"; }
  std::string BalancerHttp(int id) const { return Address(20, id) + ":8080"; }
  std::string BalancerControl(int id) const {
    return Address(20, id) + ":7001";
  }
  /// Upper half of the addresses on which a balancer receives from the fabric.
  static std::string EntryPrefix(int id) {
    return "127." + std::to_string(100 + id) + ".0.0";
  }
  std::string SidecarFrames(int id) const { return Address(21, id) + ":7000"; }
  std::string SidecarHttp(int id) const { return Address(21, id) + ":8080"; }
  std::string SidecarControl(int id) const { return Address(21, id) + ":7001"; }
  std::string Upstream(int id) const { return Address(30, id) + ":6000"; }

 private:
  Site(int number, standin::UniqueFd lock)
      : number_(number), lock_(std::move(lock)) {}

  std::string Address(int second_octet, int host) const {
    return "127." + std::to_string(second_octet) + "." +
           std::to_string(number_) + "." + std::to_string(host);
  }

  int number_;
  standin::UniqueFd lock_;
};

}  // namespace cowslip::testing
