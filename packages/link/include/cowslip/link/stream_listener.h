#pragma once

#include <optional>

#include "cowslip/base.h"
#include "cowslip/link/file_descriptor.h"
#include "cowslip/link/link_error.h"

namespace cowslip::link {

/// A non-blocking TCP socket that listens for incoming streams.
class StreamListener {
 public:
  /// Binds an address and listens.
  static std::optional<StreamListener> Bind(const Endpoint& local,
                                            LastReason<LinkError>& reason);

  /// @return the next incoming connection, or std::nullopt if there is none.
  std::optional<FileDescriptor> Accept() const;
  int fd() const { return fd_.get(); }

 private:
  explicit StreamListener(FileDescriptor fd) : fd_(std::move(fd)) {}

  FileDescriptor fd_;
};

}  // namespace cowslip::link
