#pragma once

#include <chrono>

#include "cowslip/coap/message.h"

namespace cowslip::coap {

/// @return a response that carries the token of the request: piggybacked on
///     the acknowledgement of a confirmable request, non-confirmable otherwise.
Message MakeResponse(const Message& request, Code code);

/// @return a 4.01 response with an Echo value, which the caller sends back in a
///     repeated request (RFC 9175).
Message MakeChallenge(const Message& request, Bytes echo);

/// @return a 5.03 response: the request was not run; the caller may retry after
///     max_age.
Message MakeUnavailable(const Message& request, std::chrono::seconds max_age);

/// @return a 5.04 response: it is unknown whether the request was run.
Message MakeOutcomeUnknown(const Message& request);

}  // namespace cowslip::coap
