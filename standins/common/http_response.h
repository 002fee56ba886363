#pragma once

#include <string>
#include <utility>
#include <vector>

namespace cowslip::standin {

/// An HTTP response to send.
struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
};

}  // namespace cowslip::standin
