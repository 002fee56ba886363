#pragma once

/// @file Public header of the coap library: RFC 7252 messages, based on
/// libcoap3.

#include "cowslip/coap/coap_error.h"  // IWYU pragma: export
#include "cowslip/coap/message.h"     // IWYU pragma: export
#include "cowslip/coap/responses.h"   // IWYU pragma: export
