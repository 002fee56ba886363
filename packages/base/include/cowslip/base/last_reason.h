#pragma once

#include <string>
#include <utility>

namespace cowslip {

/// The reason of the last failure of an operation that returned std::nullopt.
///
/// Every layer instantiates it with its own error enum, for which it provides
/// `std::string_view ErrorMessage(Code)`; `Code{}` (zero) means success.
template <typename Code>
class LastReason {
 public:
  /// @param code what went wrong, in the terms of the reporting layer.
  /// @param detail names the input concerned, empty if there is none.
  void Set(Code code, std::string detail = {}) {
    code_ = code;
    detail_ = std::move(detail);
  }
  Code code() const { return code_; }
  const std::string& detail() const { return detail_; }
  bool ok() const { return code_ == Code{}; }

  /// @return the message of the code, followed by the detail.
  std::string Message() const {
    std::string text(ErrorMessage(code_));
    if (!detail_.empty()) text += ": " + detail_;
    return text;
  }

 private:
  Code code_{};
  std::string detail_;
};

}  // namespace cowslip
