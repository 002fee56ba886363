#pragma once

#include "cowslip/base.h"

namespace cowslip::link {

using cowslip::FileDescriptor;

}  // namespace cowslip::link
