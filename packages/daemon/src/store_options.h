#pragma once

#include "cowslip/consul.h"
#include "cowslip/settings.h"

namespace cowslip::daemon {

inline consul::StoreClientOptions ToOptions(
    const settings::StoreSettings& store) {
  consul::StoreClientOptions options;
  options.urls = store.urls;
  options.timeout = store.timeout;
  options.token = store.token;
  return options;
}

}  // namespace cowslip::daemon
