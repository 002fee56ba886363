#pragma once

/// @file Public header of the link library: frames, datagram sockets and
/// authenticated streams between the processes of the system.

#include "cowslip/link/datagram_batch.h"   // IWYU pragma: export
#include "cowslip/link/datagram_socket.h"  // IWYU pragma: export
#include "cowslip/link/file_descriptor.h"  // IWYU pragma: export
#include "cowslip/link/frame.h"            // IWYU pragma: export
#include "cowslip/link/frame_codec.h"      // IWYU pragma: export
#include "cowslip/link/line_stream.h"      // IWYU pragma: export
#include "cowslip/link/link_error.h"       // IWYU pragma: export
#include "cowslip/link/stream_auth.h"      // IWYU pragma: export
#include "cowslip/link/stream_listener.h"  // IWYU pragma: export
#include "cowslip/link/visited_list.h"     // IWYU pragma: export
