#include "frame_socket.h"

namespace cowslip::daemon {

std::optional<FrameSocket> FrameSocket::Open(const link::FrameKey& key,
                                             const Endpoint& local,
                                             LastReason<DaemonError>& reason) {
  LastReason<link::LinkError> link_reason;
  auto codec = link::FrameCodec::Create(key, link_reason);
  auto socket = link::DatagramSocket::Bind(local, link_reason);
  if (codec && socket)
    return FrameSocket{std::move(*codec), std::move(*socket)};
  reason.Set(DaemonError::kSocket, link_reason.Message());
  return std::nullopt;
}

}  // namespace cowslip::daemon
