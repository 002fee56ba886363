#pragma once

#include <string>
#include <utility>

namespace cowslip {

/// Output parameter for the reason of a failure; set by operations that return
/// std::nullopt, nullptr or false.
///
/// Every library instantiates it with its own error enum and provides
/// `std::string_view ErrorMessage(Code)` for it; `Code{}` (zero) means success.
template <typename Code>
class LastReason {
 public:
  /// @param code the error, in terms of the library that reports it.
  /// @param detail the input that caused it, empty if there is none.
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
