#pragma once

#include <optional>

#include "cowslip/base.h"
#include "cowslip/link/file_descriptor.h"
#include "cowslip/link/link_error.h"

namespace cowslip::link {

/// A non-blocking TCP socket that accepts streams.
class StreamListener {
 public:
  static std::optional<StreamListener> Bind(const Endpoint& local,
                                            LastReason<LinkError>& reason);

  /// @return the next connection, or std::nullopt if none waits.
  std::optional<FileDescriptor> Accept() const;
  int fd() const { return fd_.get(); }

 private:
  explicit StreamListener(FileDescriptor fd) : fd_(std::move(fd)) {}

  FileDescriptor fd_;
};

}  // namespace cowslip::link
