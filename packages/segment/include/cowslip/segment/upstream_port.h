#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "cowslip/base.h"

namespace cowslip::segment {

/// Identifies a socket on the sidecar's machine; 0 stands for no socket.
using SocketId = std::uint64_t;

/// Decides from the socket at the upstream's address whether an upstream that
/// sends nothing still exists. The caller looks the socket up.
///
/// Load pattern: an upstream is suspended, or gets no processor time, for
/// longer than its reports may be missing. Its flows are open and must not be
/// reset.
///
/// The kernel closes the sockets of a process that ends and keeps those of one
/// that is suspended. The address may be held by another process, though, such
/// as a proxy that outlives the upstream, or by a process of another network
/// namespace, which can't be looked up. A socket therefore counts as evidence
/// of life only if it was there while the upstream reported, and only after the
/// port has been seen closed once while there was no upstream. Without such
/// evidence the missing reports decide alone.
class UpstreamPort {
 public:
  /// Interval of look-ups while the state of the port matters.
  static constexpr std::chrono::milliseconds kLookupInterval{100};
  /// Age at which the result of a look-up is outdated.
  static constexpr std::chrono::milliseconds kMaxLookupAge{300};

  /// A report of the upstream arrived.
  /// @param new_process whether it is the first one of an upstream process.
  void OnReport(bool new_process);
  /// @param elapsed time since the last call in which this process ran.
  /// @param overdue whether a report is overdue, or none has arrived yet.
  void OnTick(Duration elapsed, bool overdue);
  /// @return whether the socket is to be looked up now.
  bool LookupIsDue() const;
  /// Handles the result of a look-up; std::nullopt if sockets can't be looked
  /// up.
  void OnLookup(std::optional<SocketId> socket);

  /// @return whether the process that sent the reports still has its socket.
  bool ShowsLife() const {
    return tracks_upstream_ && reporting_socket_ != 0 &&
           socket_ == reporting_socket_ && lookup_age_ <= kMaxLookupAge;
  }
  /// @return whether the port is known to be closed while there is no upstream.
  bool tracks_upstream() const { return tracks_upstream_; }
  /// An earlier process on this instance has seen that it is.
  void AdoptTracking() { tracks_upstream_ = true; }

 private:
  bool available_ = true;
  bool tracks_upstream_ = false;
  bool overdue_ = true;
  /// The socket has not been looked up since the last report.
  bool reported_ = false;
  SocketId reporting_socket_ = 0;  ///< Seen while the upstream reported.
  SocketId socket_ = 0;            ///< Seen last.
  bool closed_ = false;            ///< Seen closed since the last report.
  Duration lookup_age_ = kMaxLookupAge + kLookupInterval;
};

}  // namespace cowslip::segment
