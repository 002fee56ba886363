#pragma once

#include "cowslip/base.h"

namespace cowslip::link {

/// Owning file descriptor of a socket.
using cowslip::FileDescriptor;

}  // namespace cowslip::link
