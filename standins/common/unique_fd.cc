#include "standins/common/unique_fd.h"

#include <unistd.h>

namespace cowslip::standin {

UniqueFd::~UniqueFd() {
  if (fd_ >= 0) close(fd_);
}

}  // namespace cowslip::standin
