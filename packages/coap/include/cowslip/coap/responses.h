#pragma once

#include <chrono>

#include "cowslip/coap/message.h"

namespace cowslip::coap {

/// @return a response that carries the token of the request: piggybacked on
///     the acknowledgement of a confirmable request, non-confirmable otherwise.
Message MakeResponse(const Message& request, Code code);

/// 4.01 with an Echo value that the caller repeats (RFC 9175).
Message MakeChallenge(const Message& request, Bytes echo);

/// 5.03: the request was not run; try again after max_age.
Message MakeUnavailable(const Message& request, std::chrono::seconds max_age);

/// 5.04: whether the request was run is unknown.
Message MakeOutcomeUnknown(const Message& request);

}  // namespace cowslip::coap
