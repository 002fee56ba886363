#pragma once

/// Client of the platform's key-value store (the published Consul KV HTTP API).
#include "cowslip/platform/base64.h"
#include "cowslip/platform/key_value.h"
#include "cowslip/platform/platform_error.h"
#include "cowslip/platform/results.h"
#include "cowslip/platform/store_call_stats.h"
#include "cowslip/platform/store_client.h"
#include "cowslip/platform/store_client_options.h"
#include "cowslip/platform/store_url.h"
