#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cowslip/base/endpoint.h"

namespace docopt {
struct value;
}

namespace cowslip::standin {

/// Parsed command line; exits with an error message if an argument is
/// malformed.
class Arguments {
 public:
  /// @param usage docopt text; exits if the command line does not match it.
  Arguments(const char* usage, int argc, char** argv);
  ~Arguments();
  Arguments(const Arguments&) = delete;
  Arguments& operator=(const Arguments&) = delete;

  /// @return whether an option, flag or command was given.
  bool Has(const std::string& name) const;
  /// The following return the value of an option or argument and exit if it is
  /// missing or malformed.
  std::string Text(const std::string& name) const;
  /// @return the values of a repeatable option, empty if it was not given.
  std::vector<std::string> Texts(const std::string& name) const;
  std::uint64_t Number(const std::string& name) const;
  double Probability(const std::string& name) const;
  std::chrono::milliseconds Milliseconds(const std::string& name) const;
  Endpoint Address(const std::string& name) const;

 private:
  std::map<std::string, docopt::value> values_;
};

/// @return the number, std::nullopt if the text is not a number of 0 to 1.
std::optional<double> ParseProbability(const std::string& text);

/// Logs the error and exits with status 1.
[[noreturn]] void Fail(const std::string& message);

}  // namespace cowslip::standin
