#pragma once

/// Client of a key-value store with Consul's KV and session HTTP API.
#include "cowslip/base.h"
#include "cowslip/consul/consul_error.h"
#include "cowslip/consul/key_value.h"
#include "cowslip/consul/results.h"
#include "cowslip/consul/store_call_stats.h"
#include "cowslip/consul/store_client.h"
#include "cowslip/consul/store_client_options.h"
#include "cowslip/consul/store_url.h"
