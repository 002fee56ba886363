#include "cowslip/segment/upstream_port.h"

namespace cowslip::segment {

void UpstreamPort::OnReport(bool new_process) {
  if (new_process) {
    // The socket outlived the process that it was taken for.
    if (overdue_ && ShowsLife()) tracks_upstream_ = false;
    reporting_socket_ = 0;
  }
  overdue_ = false;
  closed_ = false;
  reported_ = true;
}

void UpstreamPort::OnTick(Duration elapsed, bool overdue) {
  lookup_age_ += elapsed;
  overdue_ = overdue;
}

bool UpstreamPort::LookupIsDue() const {
  if (!available_) return false;
  // A socket that was closed belongs to another process when it is open again.
  if (overdue_) return !closed_ && lookup_age_ >= kLookupInterval;
  return reporting_socket_ == 0 && reported_;
}

void UpstreamPort::OnLookup(std::optional<SocketId> socket) {
  available_ = socket.has_value();
  socket_ = socket.value_or(0);
  lookup_age_ = Duration{};
  if (!available_) return;
  reported_ = false;
  closed_ = socket_ == 0;
  if (overdue_) {
    tracks_upstream_ |= closed_;
  } else if (closed_) {
    // Reports arrive: the upstream's socket can't be looked up from here.
    tracks_upstream_ = false;
  } else {
    reporting_socket_ = socket_;
  }
}

}  // namespace cowslip::segment
