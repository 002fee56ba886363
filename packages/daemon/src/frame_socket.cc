#include "frame_socket.h"

namespace cowslip::daemon {

std::optional<FrameSocket> FrameSocket::Open(const link::FrameKey& key,
                                             const Endpoint& local,
                                             LastReason<DaemonError>& reason) {
  LastReason<link::LinkError> fault;
  auto codec = link::FrameCodec::Create(key, fault);
  auto udp = link::DatagramSocket::Bind(local, fault);
  if (codec && udp) return FrameSocket{std::move(*codec), std::move(*udp)};
  reason.Set(DaemonError::kSocket, fault.Message());
  return std::nullopt;
}

}  // namespace cowslip::daemon
