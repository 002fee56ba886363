#pragma once

#include <string_view>

namespace cowslip::standin {

/// Why a stand-in program failed to start or to serve.
enum class StandinError {
  kOk = 0,
  /// A command line argument or request parameter is malformed.
  kBadArgument,
  /// The address cannot be bound.
  kCannotListen,
  /// Another system call failed.
  kSystem,
};

/// @return a short English text.
std::string_view ErrorMessage(StandinError error);

}  // namespace cowslip::standin
