#pragma once

#include <string_view>

namespace cowslip::consul {

/// Why a call to the store gave no result.
enum class ConsulError {
  kOk = 0,
  /// The options are unusable.
  kBadOptions,
  /// The request was never sent.
  kUnavailable,
  /// The request was sent and no answer came in time; it may have taken effect.
  kTimeout,
  /// The connection ended before a complete answer; the request may have taken
  /// effect.
  kAnswerLost,
  /// The answer is not what the published API specifies.
  kBadAnswer,
  /// HTTP 4xx.
  kRefused,
  /// HTTP 5xx; the request may have taken effect.
  kServerError,
  /// StoreClient::Cancel ended the call; the request may have taken effect.
  kCancelled,
};

/// @return a short English text.
std::string_view ErrorMessage(ConsulError error);

/// @return whether a write that failed with this error may have taken effect.
bool MayHaveTakenEffect(ConsulError error);

}  // namespace cowslip::consul
