#pragma once

#include "cowslip/consul.h"
#include "cowslip/settings.h"

namespace cowslip::daemon {

/// Converts the settings of the store to client options.
inline consul::StoreClientOptions ToStoreClientOptions(
    const settings::StoreSettings& store) {
  consul::StoreClientOptions options;
  options.urls = store.urls;
  options.timeout = store.timeout;
  options.token = store.token;
  return options;
}

}  // namespace cowslip::daemon
