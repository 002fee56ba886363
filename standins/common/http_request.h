#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cowslip::standin {

/// A received HTTP request.
struct HttpRequest {
  std::string method;
  /// Path, percent-decoded.
  std::string path;
  /// Query parameters, percent-decoded; the value is empty if there is none.
  std::map<std::string, std::string> parameters;
  std::string body;
  /// X-Consul-Token of the peer, or its numeric address if it sent none.
  std::string source;

  bool Has(const std::string& name) const {
    return parameters.count(name) != 0;
  }
  /// @return the value of a parameter, empty if it is missing.
  std::string Parameter(const std::string& name) const;
  /// @return the value of a parameter, std::nullopt if it is not a number.
  std::optional<std::uint64_t> Number(const std::string& name) const;
};

}  // namespace cowslip::standin
