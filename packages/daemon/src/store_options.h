#pragma once

#include "cowslip/platform.h"
#include "cowslip/settings.h"

namespace cowslip::daemon {

inline platform::StoreClientOptions ToOptions(
    const settings::StoreSettings& store) {
  platform::StoreClientOptions options;
  options.urls = store.urls;
  options.timeout = store.timeout;
  options.token = store.token;
  return options;
}

}  // namespace cowslip::daemon
